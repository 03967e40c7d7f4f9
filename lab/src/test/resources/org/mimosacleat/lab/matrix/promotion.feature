Feature: Each fault at each step of a promotion

  Scenario Outline: a promotion <moment> when <fault>
    Given a group with a home that serves
    When a promotion <moment> when <fault>
    And the fault lasts while a client keeps sending requests
    And the fault ends
    Then no invariant is violated
    And a further write is acknowledged

    Examples:
      | moment                      | fault                                                            |
      | has not been decided        | the home pauses                                                  |
      | has not been decided        | the home dies                                                    |
      | has not been decided        | another proxy suspects the home                                  |
      | has not been decided        | the home hands over                                              |
      | has not been decided        | the primary freezes                                              |
      | has not been decided        | the primary is partitioned from its replicas                     |
      | has not been decided        | the primary is unreachable from the proxies                      |
      | has not been decided        | the answers of the primary are lost                              |
      | has not been decided        | the primary leaves                                               |
      | has not been decided        | a replica dies                                                   |
      | has not been decided        | a replica freezes                                                |
      | has not been decided        | the answers of a replica are lost                                |
      | has not been decided        | the replicas fall behind                                         |
      | has not been decided        | the replicas receive no log records                              |
      | has not been decided        | the table service is down                                        |
      | has not been decided        | the table service is slow                                        |
      | has not been decided        | the answers of the table service are lost                        |
      | has not been decided        | the home pauses and the primary is partitioned from its replicas |
      | has not been decided        | the home dies and the table service is down                      |
      | has not been decided        | the home dies and the primary dies                               |
      | has not been decided        | the primary dies and the home hands over                         |
      | has not been decided        | the table service is slow and the home pauses                    |
      | has started a term          | the home pauses                                                  |
      | has started a term          | the home dies                                                    |
      | has started a term          | another proxy suspects the home                                  |
      | has started a term          | the home hands over                                              |
      | has started a term          | the primary freezes                                              |
      | has started a term          | the primary is partitioned from its replicas                     |
      | has started a term          | the primary is unreachable from the proxies                      |
      | has started a term          | the answers of the primary are lost                              |
      | has started a term          | the primary leaves                                               |
      | has started a term          | a replica dies                                                   |
      | has started a term          | a replica freezes                                                |
      | has started a term          | the answers of a replica are lost                                |
      | has started a term          | the replicas fall behind                                         |
      | has started a term          | the replicas receive no log records                              |
      | has started a term          | the table service is down                                        |
      | has started a term          | the table service is slow                                        |
      | has started a term          | the answers of the table service are lost                        |
      | has started a term          | the home pauses and the primary is partitioned from its replicas |
      | has started a term          | the home dies and the table service is down                      |
      | has started a term          | the home dies and the primary dies                               |
      | has started a term          | the primary dies and the home hands over                         |
      | has started a term          | the table service is slow and the home pauses                    |
      | has chosen the next primary | the home pauses                                                  |
      | has chosen the next primary | the home dies                                                    |
      | has chosen the next primary | another proxy suspects the home                                  |
      | has chosen the next primary | the home hands over                                              |
      | has chosen the next primary | the primary freezes                                              |
      | has chosen the next primary | the primary is partitioned from its replicas                     |
      | has chosen the next primary | the primary is unreachable from the proxies                      |
      | has chosen the next primary | the answers of the primary are lost                              |
      | has chosen the next primary | the primary leaves                                               |
      | has chosen the next primary | a replica dies                                                   |
      | has chosen the next primary | a replica freezes                                                |
      | has chosen the next primary | the answers of a replica are lost                                |
      | has chosen the next primary | the replicas fall behind                                         |
      | has chosen the next primary | the replicas receive no log records                              |
      | has chosen the next primary | the table service is down                                        |
      | has chosen the next primary | the table service is slow                                        |
      | has chosen the next primary | the answers of the table service are lost                        |
      | has chosen the next primary | the home pauses and the primary is partitioned from its replicas |
      | has chosen the next primary | the home dies and the table service is down                      |
      | has chosen the next primary | the home dies and the primary dies                               |
      | has chosen the next primary | the primary dies and the home hands over                         |
      | has chosen the next primary | the table service is slow and the home pauses                    |
      | serves                      | the home pauses                                                  |
      | serves                      | the home dies                                                    |
      | serves                      | another proxy suspects the home                                  |
      | serves                      | the home hands over                                              |
      | serves                      | the primary freezes                                              |
      | serves                      | the primary is partitioned from its replicas                     |
      | serves                      | the primary is unreachable from the proxies                      |
      | serves                      | the answers of the primary are lost                              |
      | serves                      | the primary leaves                                               |
      | serves                      | a replica dies                                                   |
      | serves                      | a replica freezes                                                |
      | serves                      | the answers of a replica are lost                                |
      | serves                      | the replicas fall behind                                         |
      | serves                      | the replicas receive no log records                              |
      | serves                      | the table service is down                                        |
      | serves                      | the table service is slow                                        |
      | serves                      | the answers of the table service are lost                        |
      | serves                      | the home pauses and the primary is partitioned from its replicas |
      | serves                      | the home dies and the table service is down                      |
      | serves                      | the home dies and the primary dies                               |
      | serves                      | the primary dies and the home hands over                         |
      | serves                      | the table service is slow and the home pauses                    |

  @not-applicable
  Scenario Outline: a promotion <moment> when <fault>: <reason>
    Then this cannot occur, because <reason>

    Examples:
      | moment                      | fault            | reason                                                                          |
      | has not been decided        | the primary dies | the promotion starts with this fault                                            |
      | has started a term          | the primary dies | the old primary is already dead                                                 |
      | has chosen the next primary | the primary dies | the new primary is not known yet; the fault of a dying replica covers this case |
