Feature: Each fault at each step of a change of home

  Scenario Outline: a change of home <moment> when <fault>
    Given a group with a home that serves
    When a change of home <moment> when <fault>
    And the fault lasts for a while with a client that goes on
    And the fault ends
    Then nothing that must always hold is violated
    And a client that writes again is answered

    Examples:
      | moment                 | fault                                                     |
      | is not noticed yet     | the home pauses                                           |
      | is not noticed yet     | another proxy suspects the home                           |
      | is not noticed yet     | the home hands over                                       |
      | is not noticed yet     | the primary dies                                          |
      | is not noticed yet     | the primary freezes                                       |
      | is not noticed yet     | the primary is cut off from its group                     |
      | is not noticed yet     | the primary is cut off from the proxies                   |
      | is not noticed yet     | the answers of the primary are lost                       |
      | is not noticed yet     | the primary leaves                                        |
      | is not noticed yet     | a replica dies                                            |
      | is not noticed yet     | a replica freezes                                         |
      | is not noticed yet     | the answers of a replica are lost                         |
      | is not noticed yet     | the replicas fall behind                                  |
      | is not noticed yet     | the replicas receive nothing                              |
      | is not noticed yet     | the table service is down                                 |
      | is not noticed yet     | the table service is slow                                 |
      | is not noticed yet     | the answers of the table service are lost                 |
      | is not noticed yet     | the home pauses and the primary is cut off from its group |
      | is not noticed yet     | the home dies and the table service is down               |
      | is not noticed yet     | the home dies and the primary dies                        |
      | is not noticed yet     | the primary dies and the home hands over                  |
      | is not noticed yet     | the table service is slow and the home pauses             |
      | has written the row    | the home pauses                                           |
      | has written the row    | another proxy suspects the home                           |
      | has written the row    | the home hands over                                       |
      | has written the row    | the primary dies                                          |
      | has written the row    | the primary freezes                                       |
      | has written the row    | the primary is cut off from its group                     |
      | has written the row    | the primary is cut off from the proxies                   |
      | has written the row    | the answers of the primary are lost                       |
      | has written the row    | the primary leaves                                        |
      | has written the row    | a replica dies                                            |
      | has written the row    | a replica freezes                                         |
      | has written the row    | the answers of a replica are lost                         |
      | has written the row    | the replicas fall behind                                  |
      | has written the row    | the replicas receive nothing                              |
      | has written the row    | the table service is down                                 |
      | has written the row    | the table service is slow                                 |
      | has written the row    | the answers of the table service are lost                 |
      | has written the row    | the home pauses and the primary is cut off from its group |
      | has written the row    | the home dies and the table service is down               |
      | has written the row    | the home dies and the primary dies                        |
      | has written the row    | the primary dies and the home hands over                  |
      | has written the row    | the table service is slow and the home pauses             |
      | has the token accepted | the home pauses                                           |
      | has the token accepted | another proxy suspects the home                           |
      | has the token accepted | the home hands over                                       |
      | has the token accepted | the primary dies                                          |
      | has the token accepted | the primary freezes                                       |
      | has the token accepted | the primary is cut off from its group                     |
      | has the token accepted | the primary is cut off from the proxies                   |
      | has the token accepted | the answers of the primary are lost                       |
      | has the token accepted | the primary leaves                                        |
      | has the token accepted | a replica dies                                            |
      | has the token accepted | a replica freezes                                         |
      | has the token accepted | the answers of a replica are lost                         |
      | has the token accepted | the replicas fall behind                                  |
      | has the token accepted | the replicas receive nothing                              |
      | has the token accepted | the table service is down                                 |
      | has the token accepted | the table service is slow                                 |
      | has the token accepted | the answers of the table service are lost                 |
      | has the token accepted | the home pauses and the primary is cut off from its group |
      | has the token accepted | the home dies and the table service is down               |
      | has the token accepted | the home dies and the primary dies                        |
      | has the token accepted | the primary dies and the home hands over                  |
      | has the token accepted | the table service is slow and the home pauses             |
      | serves                 | the home pauses                                           |
      | serves                 | another proxy suspects the home                           |
      | serves                 | the home hands over                                       |
      | serves                 | the primary dies                                          |
      | serves                 | the primary freezes                                       |
      | serves                 | the primary is cut off from its group                     |
      | serves                 | the primary is cut off from the proxies                   |
      | serves                 | the answers of the primary are lost                       |
      | serves                 | the primary leaves                                        |
      | serves                 | a replica dies                                            |
      | serves                 | a replica freezes                                         |
      | serves                 | the answers of a replica are lost                         |
      | serves                 | the replicas fall behind                                  |
      | serves                 | the replicas receive nothing                              |
      | serves                 | the table service is down                                 |
      | serves                 | the table service is slow                                 |
      | serves                 | the answers of the table service are lost                 |
      | serves                 | the home pauses and the primary is cut off from its group |
      | serves                 | the home dies and the table service is down               |
      | serves                 | the home dies and the primary dies                        |
      | serves                 | the primary dies and the home hands over                  |
      | serves                 | the table service is slow and the home pauses             |

  @not-applicable
  Scenario Outline: a change of home <moment> when <fault>: <reason>
    Then this cannot occur, because <reason>

    Examples:
      | moment              | fault         | reason                                                        |
      | is not noticed yet  | the home dies | the change begins with just that                              |
      | has written the row | the home dies | the old home is dead already, and the next does not serve yet |
