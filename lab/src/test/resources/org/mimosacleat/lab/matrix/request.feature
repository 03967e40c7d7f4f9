Feature: Each fault at each step of a write

  Scenario Outline: a write <moment> when <fault>
    Given a group with a home that serves
    When a write <moment> when <fault>
    And the fault lasts for a while with a client that goes on
    And the fault ends
    Then nothing that must always hold is violated
    And a client that writes again is answered

    Examples:
      | moment                       | fault                                                     |
      | is about to be sent          | the home pauses                                           |
      | is about to be sent          | the home dies                                             |
      | is about to be sent          | another proxy suspects the home                           |
      | is about to be sent          | the home hands over                                       |
      | is about to be sent          | the primary dies                                          |
      | is about to be sent          | the primary freezes                                       |
      | is about to be sent          | the primary is cut off from its group                     |
      | is about to be sent          | the primary is cut off from the proxies                   |
      | is about to be sent          | the answers of the primary are lost                       |
      | is about to be sent          | the primary leaves                                        |
      | is about to be sent          | a replica dies                                            |
      | is about to be sent          | a replica freezes                                         |
      | is about to be sent          | the answers of a replica are lost                         |
      | is about to be sent          | the replicas fall behind                                  |
      | is about to be sent          | the replicas receive nothing                              |
      | is about to be sent          | the table service is down                                 |
      | is about to be sent          | the table service is slow                                 |
      | is about to be sent          | the answers of the table service are lost                 |
      | is about to be sent          | the home pauses and the primary is cut off from its group |
      | is about to be sent          | the home dies and the table service is down               |
      | is about to be sent          | the home dies and the primary dies                        |
      | is about to be sent          | the primary dies and the home hands over                  |
      | is about to be sent          | the table service is slow and the home pauses             |
      | is on its way to the primary | the home pauses                                           |
      | is on its way to the primary | the home dies                                             |
      | is on its way to the primary | another proxy suspects the home                           |
      | is on its way to the primary | the home hands over                                       |
      | is on its way to the primary | the primary dies                                          |
      | is on its way to the primary | the primary freezes                                       |
      | is on its way to the primary | the primary is cut off from its group                     |
      | is on its way to the primary | the primary is cut off from the proxies                   |
      | is on its way to the primary | the answers of the primary are lost                       |
      | is on its way to the primary | the primary leaves                                        |
      | is on its way to the primary | a replica dies                                            |
      | is on its way to the primary | a replica freezes                                         |
      | is on its way to the primary | the answers of a replica are lost                         |
      | is on its way to the primary | the replicas fall behind                                  |
      | is on its way to the primary | the replicas receive nothing                              |
      | is on its way to the primary | the table service is down                                 |
      | is on its way to the primary | the table service is slow                                 |
      | is on its way to the primary | the answers of the table service are lost                 |
      | is on its way to the primary | the home pauses and the primary is cut off from its group |
      | is on its way to the primary | the home dies and the table service is down               |
      | is on its way to the primary | the home dies and the primary dies                        |
      | is on its way to the primary | the primary dies and the home hands over                  |
      | is on its way to the primary | the table service is slow and the home pauses             |
      | has run on the primary       | the home pauses                                           |
      | has run on the primary       | the home dies                                             |
      | has run on the primary       | another proxy suspects the home                           |
      | has run on the primary       | the home hands over                                       |
      | has run on the primary       | the primary dies                                          |
      | has run on the primary       | the primary freezes                                       |
      | has run on the primary       | the primary is cut off from its group                     |
      | has run on the primary       | the primary is cut off from the proxies                   |
      | has run on the primary       | the answers of the primary are lost                       |
      | has run on the primary       | the primary leaves                                        |
      | has run on the primary       | a replica dies                                            |
      | has run on the primary       | a replica freezes                                         |
      | has run on the primary       | the answers of a replica are lost                         |
      | has run on the primary       | the replicas fall behind                                  |
      | has run on the primary       | the replicas receive nothing                              |
      | has run on the primary       | the table service is down                                 |
      | has run on the primary       | the table service is slow                                 |
      | has run on the primary       | the answers of the table service are lost                 |
      | has run on the primary       | the home pauses and the primary is cut off from its group |
      | has run on the primary       | the home dies and the table service is down               |
      | has run on the primary       | the home dies and the primary dies                        |
      | has run on the primary       | the primary dies and the home hands over                  |
      | has run on the primary       | the table service is slow and the home pauses             |
      | waits for its confirmation   | the home pauses                                           |
      | waits for its confirmation   | the home dies                                             |
      | waits for its confirmation   | another proxy suspects the home                           |
      | waits for its confirmation   | the home hands over                                       |
      | waits for its confirmation   | the primary dies                                          |
      | waits for its confirmation   | the primary freezes                                       |
      | waits for its confirmation   | the primary is cut off from its group                     |
      | waits for its confirmation   | the primary is cut off from the proxies                   |
      | waits for its confirmation   | the answers of the primary are lost                       |
      | waits for its confirmation   | the primary leaves                                        |
      | waits for its confirmation   | a replica dies                                            |
      | waits for its confirmation   | a replica freezes                                         |
      | waits for its confirmation   | the answers of a replica are lost                         |
      | waits for its confirmation   | the replicas fall behind                                  |
      | waits for its confirmation   | the replicas receive nothing                              |
      | waits for its confirmation   | the table service is down                                 |
      | waits for its confirmation   | the table service is slow                                 |
      | waits for its confirmation   | the answers of the table service are lost                 |
      | waits for its confirmation   | the home pauses and the primary is cut off from its group |
      | waits for its confirmation   | the home dies and the table service is down               |
      | waits for its confirmation   | the home dies and the primary dies                        |
      | waits for its confirmation   | the primary dies and the home hands over                  |
      | waits for its confirmation   | the table service is slow and the home pauses             |
      | has been answered            | the home pauses                                           |
      | has been answered            | the home dies                                             |
      | has been answered            | another proxy suspects the home                           |
      | has been answered            | the home hands over                                       |
      | has been answered            | the primary dies                                          |
      | has been answered            | the primary freezes                                       |
      | has been answered            | the primary is cut off from its group                     |
      | has been answered            | the primary is cut off from the proxies                   |
      | has been answered            | the answers of the primary are lost                       |
      | has been answered            | the primary leaves                                        |
      | has been answered            | a replica dies                                            |
      | has been answered            | a replica freezes                                         |
      | has been answered            | the answers of a replica are lost                         |
      | has been answered            | the replicas fall behind                                  |
      | has been answered            | the replicas receive nothing                              |
      | has been answered            | the table service is down                                 |
      | has been answered            | the table service is slow                                 |
      | has been answered            | the answers of the table service are lost                 |
      | has been answered            | the home pauses and the primary is cut off from its group |
      | has been answered            | the home dies and the table service is down               |
      | has been answered            | the home dies and the primary dies                        |
      | has been answered            | the primary dies and the home hands over                  |
      | has been answered            | the table service is slow and the home pauses             |
