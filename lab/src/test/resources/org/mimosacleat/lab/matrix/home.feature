Feature: Each fault at each step of a change of home

  Scenario Outline: a change of home <moment> when <fault>
    Given a group with a home that serves
    When a change of home <moment> when <fault>
    And the fault lasts while a client keeps sending requests
    And the fault ends
    Then no invariant is violated
    And a further write is acknowledged

    Examples:
      | moment                 | fault                                                            |
      | has not been detected  | the home pauses                                                  |
      | has not been detected  | another proxy suspects the home                                  |
      | has not been detected  | the home hands over                                              |
      | has not been detected  | the primary dies                                                 |
      | has not been detected  | the primary freezes                                              |
      | has not been detected  | the primary is partitioned from its replicas                     |
      | has not been detected  | the primary is unreachable from the proxies                      |
      | has not been detected  | the answers of the primary are lost                              |
      | has not been detected  | the primary leaves                                               |
      | has not been detected  | a replica dies                                                   |
      | has not been detected  | a replica freezes                                                |
      | has not been detected  | the answers of a replica are lost                                |
      | has not been detected  | the replicas fall behind                                         |
      | has not been detected  | the replicas receive no log records                              |
      | has not been detected  | the table service is down                                        |
      | has not been detected  | the table service is slow                                        |
      | has not been detected  | the answers of the table service are lost                        |
      | has not been detected  | the home pauses and the primary is partitioned from its replicas |
      | has not been detected  | the home dies and the table service is down                      |
      | has not been detected  | the home dies and the primary dies                               |
      | has not been detected  | the primary dies and the home hands over                         |
      | has not been detected  | the table service is slow and the home pauses                    |
      | has written the row    | the home pauses                                                  |
      | has written the row    | another proxy suspects the home                                  |
      | has written the row    | the home hands over                                              |
      | has written the row    | the primary dies                                                 |
      | has written the row    | the primary freezes                                              |
      | has written the row    | the primary is partitioned from its replicas                     |
      | has written the row    | the primary is unreachable from the proxies                      |
      | has written the row    | the answers of the primary are lost                              |
      | has written the row    | the primary leaves                                               |
      | has written the row    | a replica dies                                                   |
      | has written the row    | a replica freezes                                                |
      | has written the row    | the answers of a replica are lost                                |
      | has written the row    | the replicas fall behind                                         |
      | has written the row    | the replicas receive no log records                              |
      | has written the row    | the table service is down                                        |
      | has written the row    | the table service is slow                                        |
      | has written the row    | the answers of the table service are lost                        |
      | has written the row    | the home pauses and the primary is partitioned from its replicas |
      | has written the row    | the home dies and the table service is down                      |
      | has written the row    | the home dies and the primary dies                               |
      | has written the row    | the primary dies and the home hands over                         |
      | has written the row    | the table service is slow and the home pauses                    |
      | has its token accepted | the home pauses                                                  |
      | has its token accepted | another proxy suspects the home                                  |
      | has its token accepted | the home hands over                                              |
      | has its token accepted | the primary dies                                                 |
      | has its token accepted | the primary freezes                                              |
      | has its token accepted | the primary is partitioned from its replicas                     |
      | has its token accepted | the primary is unreachable from the proxies                      |
      | has its token accepted | the answers of the primary are lost                              |
      | has its token accepted | the primary leaves                                               |
      | has its token accepted | a replica dies                                                   |
      | has its token accepted | a replica freezes                                                |
      | has its token accepted | the answers of a replica are lost                                |
      | has its token accepted | the replicas fall behind                                         |
      | has its token accepted | the replicas receive no log records                              |
      | has its token accepted | the table service is down                                        |
      | has its token accepted | the table service is slow                                        |
      | has its token accepted | the answers of the table service are lost                        |
      | has its token accepted | the home pauses and the primary is partitioned from its replicas |
      | has its token accepted | the home dies and the table service is down                      |
      | has its token accepted | the home dies and the primary dies                               |
      | has its token accepted | the primary dies and the home hands over                         |
      | has its token accepted | the table service is slow and the home pauses                    |
      | serves                 | the home pauses                                                  |
      | serves                 | another proxy suspects the home                                  |
      | serves                 | the home hands over                                              |
      | serves                 | the primary dies                                                 |
      | serves                 | the primary freezes                                              |
      | serves                 | the primary is partitioned from its replicas                     |
      | serves                 | the primary is unreachable from the proxies                      |
      | serves                 | the answers of the primary are lost                              |
      | serves                 | the primary leaves                                               |
      | serves                 | a replica dies                                                   |
      | serves                 | a replica freezes                                                |
      | serves                 | the answers of a replica are lost                                |
      | serves                 | the replicas fall behind                                         |
      | serves                 | the replicas receive no log records                              |
      | serves                 | the table service is down                                        |
      | serves                 | the table service is slow                                        |
      | serves                 | the answers of the table service are lost                        |
      | serves                 | the home pauses and the primary is partitioned from its replicas |
      | serves                 | the home dies and the table service is down                      |
      | serves                 | the home dies and the primary dies                               |
      | serves                 | the primary dies and the home hands over                         |
      | serves                 | the table service is slow and the home pauses                    |

  @not-applicable
  Scenario Outline: a change of home <moment> when <fault>: <reason>
    Then this cannot occur, because <reason>

    Examples:
      | moment                | fault         | reason                                                             |
      | has not been detected | the home dies | the change of home starts with this fault                          |
      | has written the row   | the home dies | the old home is already dead, and the next home does not serve yet |
