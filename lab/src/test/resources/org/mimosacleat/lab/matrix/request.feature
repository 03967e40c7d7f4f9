Feature: Each fault at each step of a write

  Scenario Outline: a write <moment> when <fault>
    Given a group with a home that serves
    When a write <moment> when <fault>
    And the fault lasts while a client keeps sending requests
    And the fault ends
    Then no invariant is violated
    And a further write is acknowledged

    Examples:
      | moment                      | fault                                                            |
      | is about to be sent         | the home pauses                                                  |
      | is about to be sent         | the home dies                                                    |
      | is about to be sent         | another proxy suspects the home                                  |
      | is about to be sent         | the home hands over                                              |
      | is about to be sent         | the primary dies                                                 |
      | is about to be sent         | the primary freezes                                              |
      | is about to be sent         | the primary is partitioned from its replicas                     |
      | is about to be sent         | the primary is unreachable from the proxies                      |
      | is about to be sent         | the answers of the primary are lost                              |
      | is about to be sent         | the primary leaves                                               |
      | is about to be sent         | a replica dies                                                   |
      | is about to be sent         | a replica freezes                                                |
      | is about to be sent         | the answers of a replica are lost                                |
      | is about to be sent         | the replicas fall behind                                         |
      | is about to be sent         | the replicas receive no log records                              |
      | is about to be sent         | the table service is down                                        |
      | is about to be sent         | the table service is slow                                        |
      | is about to be sent         | the answers of the table service are lost                        |
      | is about to be sent         | the home pauses and the primary is partitioned from its replicas |
      | is about to be sent         | the home dies and the table service is down                      |
      | is about to be sent         | the home dies and the primary dies                               |
      | is about to be sent         | the primary dies and the home hands over                         |
      | is about to be sent         | the table service is slow and the home pauses                    |
      | is in flight to the primary | the home pauses                                                  |
      | is in flight to the primary | the home dies                                                    |
      | is in flight to the primary | another proxy suspects the home                                  |
      | is in flight to the primary | the home hands over                                              |
      | is in flight to the primary | the primary dies                                                 |
      | is in flight to the primary | the primary freezes                                              |
      | is in flight to the primary | the primary is partitioned from its replicas                     |
      | is in flight to the primary | the primary is unreachable from the proxies                      |
      | is in flight to the primary | the answers of the primary are lost                              |
      | is in flight to the primary | the primary leaves                                               |
      | is in flight to the primary | a replica dies                                                   |
      | is in flight to the primary | a replica freezes                                                |
      | is in flight to the primary | the answers of a replica are lost                                |
      | is in flight to the primary | the replicas fall behind                                         |
      | is in flight to the primary | the replicas receive no log records                              |
      | is in flight to the primary | the table service is down                                        |
      | is in flight to the primary | the table service is slow                                        |
      | is in flight to the primary | the answers of the table service are lost                        |
      | is in flight to the primary | the home pauses and the primary is partitioned from its replicas |
      | is in flight to the primary | the home dies and the table service is down                      |
      | is in flight to the primary | the home dies and the primary dies                               |
      | is in flight to the primary | the primary dies and the home hands over                         |
      | is in flight to the primary | the table service is slow and the home pauses                    |
      | has run on the primary      | the home pauses                                                  |
      | has run on the primary      | the home dies                                                    |
      | has run on the primary      | another proxy suspects the home                                  |
      | has run on the primary      | the home hands over                                              |
      | has run on the primary      | the primary dies                                                 |
      | has run on the primary      | the primary freezes                                              |
      | has run on the primary      | the primary is partitioned from its replicas                     |
      | has run on the primary      | the primary is unreachable from the proxies                      |
      | has run on the primary      | the answers of the primary are lost                              |
      | has run on the primary      | the primary leaves                                               |
      | has run on the primary      | a replica dies                                                   |
      | has run on the primary      | a replica freezes                                                |
      | has run on the primary      | the answers of a replica are lost                                |
      | has run on the primary      | the replicas fall behind                                         |
      | has run on the primary      | the replicas receive no log records                              |
      | has run on the primary      | the table service is down                                        |
      | has run on the primary      | the table service is slow                                        |
      | has run on the primary      | the answers of the table service are lost                        |
      | has run on the primary      | the home pauses and the primary is partitioned from its replicas |
      | has run on the primary      | the home dies and the table service is down                      |
      | has run on the primary      | the home dies and the primary dies                               |
      | has run on the primary      | the primary dies and the home hands over                         |
      | has run on the primary      | the table service is slow and the home pauses                    |
      | awaits its confirmation     | the home pauses                                                  |
      | awaits its confirmation     | the home dies                                                    |
      | awaits its confirmation     | another proxy suspects the home                                  |
      | awaits its confirmation     | the home hands over                                              |
      | awaits its confirmation     | the primary dies                                                 |
      | awaits its confirmation     | the primary freezes                                              |
      | awaits its confirmation     | the primary is partitioned from its replicas                     |
      | awaits its confirmation     | the primary is unreachable from the proxies                      |
      | awaits its confirmation     | the answers of the primary are lost                              |
      | awaits its confirmation     | the primary leaves                                               |
      | awaits its confirmation     | a replica dies                                                   |
      | awaits its confirmation     | a replica freezes                                                |
      | awaits its confirmation     | the answers of a replica are lost                                |
      | awaits its confirmation     | the replicas fall behind                                         |
      | awaits its confirmation     | the replicas receive no log records                              |
      | awaits its confirmation     | the table service is down                                        |
      | awaits its confirmation     | the table service is slow                                        |
      | awaits its confirmation     | the answers of the table service are lost                        |
      | awaits its confirmation     | the home pauses and the primary is partitioned from its replicas |
      | awaits its confirmation     | the home dies and the table service is down                      |
      | awaits its confirmation     | the home dies and the primary dies                               |
      | awaits its confirmation     | the primary dies and the home hands over                         |
      | awaits its confirmation     | the table service is slow and the home pauses                    |
      | has been answered           | the home pauses                                                  |
      | has been answered           | the home dies                                                    |
      | has been answered           | another proxy suspects the home                                  |
      | has been answered           | the home hands over                                              |
      | has been answered           | the primary dies                                                 |
      | has been answered           | the primary freezes                                              |
      | has been answered           | the primary is partitioned from its replicas                     |
      | has been answered           | the primary is unreachable from the proxies                      |
      | has been answered           | the answers of the primary are lost                              |
      | has been answered           | the primary leaves                                               |
      | has been answered           | a replica dies                                                   |
      | has been answered           | a replica freezes                                                |
      | has been answered           | the answers of a replica are lost                                |
      | has been answered           | the replicas fall behind                                         |
      | has been answered           | the replicas receive no log records                              |
      | has been answered           | the table service is down                                        |
      | has been answered           | the table service is slow                                        |
      | has been answered           | the answers of the table service are lost                        |
      | has been answered           | the home pauses and the primary is partitioned from its replicas |
      | has been answered           | the home dies and the table service is down                      |
      | has been answered           | the home dies and the primary dies                               |
      | has been answered           | the primary dies and the home hands over                         |
      | has been answered           | the table service is slow and the home pauses                    |
