Feature: Each fault at each step of a promotion

  Scenario Outline: a promotion <moment> when <fault>
    Given a group with a home that serves
    When a promotion <moment> when <fault>
    And the fault lasts for a while with a client that goes on
    And the fault ends
    Then nothing that must always hold is violated
    And a client that writes again is answered

    Examples:
      | moment                      | fault                                                     |
      | is not decided yet          | the home pauses                                           |
      | is not decided yet          | the home dies                                             |
      | is not decided yet          | another proxy suspects the home                           |
      | is not decided yet          | the home hands over                                       |
      | is not decided yet          | the primary freezes                                       |
      | is not decided yet          | the primary is cut off from its group                     |
      | is not decided yet          | the primary is cut off from the proxies                   |
      | is not decided yet          | the answers of the primary are lost                       |
      | is not decided yet          | the primary leaves                                        |
      | is not decided yet          | a replica dies                                            |
      | is not decided yet          | a replica freezes                                         |
      | is not decided yet          | the answers of a replica are lost                         |
      | is not decided yet          | the replicas fall behind                                  |
      | is not decided yet          | the replicas receive nothing                              |
      | is not decided yet          | the table service is down                                 |
      | is not decided yet          | the table service is slow                                 |
      | is not decided yet          | the answers of the table service are lost                 |
      | is not decided yet          | the home pauses and the primary is cut off from its group |
      | is not decided yet          | the home dies and the table service is down               |
      | is not decided yet          | the home dies and the primary dies                        |
      | is not decided yet          | the primary dies and the home hands over                  |
      | is not decided yet          | the table service is slow and the home pauses             |
      | has started a term          | the home pauses                                           |
      | has started a term          | the home dies                                             |
      | has started a term          | another proxy suspects the home                           |
      | has started a term          | the home hands over                                       |
      | has started a term          | the primary freezes                                       |
      | has started a term          | the primary is cut off from its group                     |
      | has started a term          | the primary is cut off from the proxies                   |
      | has started a term          | the answers of the primary are lost                       |
      | has started a term          | the primary leaves                                        |
      | has started a term          | a replica dies                                            |
      | has started a term          | a replica freezes                                         |
      | has started a term          | the answers of a replica are lost                         |
      | has started a term          | the replicas fall behind                                  |
      | has started a term          | the replicas receive nothing                              |
      | has started a term          | the table service is down                                 |
      | has started a term          | the table service is slow                                 |
      | has started a term          | the answers of the table service are lost                 |
      | has started a term          | the home pauses and the primary is cut off from its group |
      | has started a term          | the home dies and the table service is down               |
      | has started a term          | the home dies and the primary dies                        |
      | has started a term          | the primary dies and the home hands over                  |
      | has started a term          | the table service is slow and the home pauses             |
      | has chosen the next primary | the home pauses                                           |
      | has chosen the next primary | the home dies                                             |
      | has chosen the next primary | another proxy suspects the home                           |
      | has chosen the next primary | the home hands over                                       |
      | has chosen the next primary | the primary freezes                                       |
      | has chosen the next primary | the primary is cut off from its group                     |
      | has chosen the next primary | the primary is cut off from the proxies                   |
      | has chosen the next primary | the answers of the primary are lost                       |
      | has chosen the next primary | the primary leaves                                        |
      | has chosen the next primary | a replica dies                                            |
      | has chosen the next primary | a replica freezes                                         |
      | has chosen the next primary | the answers of a replica are lost                         |
      | has chosen the next primary | the replicas fall behind                                  |
      | has chosen the next primary | the replicas receive nothing                              |
      | has chosen the next primary | the table service is down                                 |
      | has chosen the next primary | the table service is slow                                 |
      | has chosen the next primary | the answers of the table service are lost                 |
      | has chosen the next primary | the home pauses and the primary is cut off from its group |
      | has chosen the next primary | the home dies and the table service is down               |
      | has chosen the next primary | the home dies and the primary dies                        |
      | has chosen the next primary | the primary dies and the home hands over                  |
      | has chosen the next primary | the table service is slow and the home pauses             |
      | serves                      | the home pauses                                           |
      | serves                      | the home dies                                             |
      | serves                      | another proxy suspects the home                           |
      | serves                      | the home hands over                                       |
      | serves                      | the primary freezes                                       |
      | serves                      | the primary is cut off from its group                     |
      | serves                      | the primary is cut off from the proxies                   |
      | serves                      | the answers of the primary are lost                       |
      | serves                      | the primary leaves                                        |
      | serves                      | a replica dies                                            |
      | serves                      | a replica freezes                                         |
      | serves                      | the answers of a replica are lost                         |
      | serves                      | the replicas fall behind                                  |
      | serves                      | the replicas receive nothing                              |
      | serves                      | the table service is down                                 |
      | serves                      | the table service is slow                                 |
      | serves                      | the answers of the table service are lost                 |
      | serves                      | the home pauses and the primary is cut off from its group |
      | serves                      | the home dies and the table service is down               |
      | serves                      | the home dies and the primary dies                        |
      | serves                      | the primary dies and the home hands over                  |
      | serves                      | the table service is slow and the home pauses             |

  @not-applicable
  Scenario Outline: a promotion <moment> when <fault>: <reason>
    Then this cannot occur, because <reason>

    Examples:
      | moment                      | fault            | reason                                                              |
      | is not decided yet          | the primary dies | the promotion begins with just that                                 |
      | has started a term          | the primary dies | the old primary is dead already                                     |
      | has chosen the next primary | the primary dies | the new primary is not known yet; a replica that dies stands for it |
