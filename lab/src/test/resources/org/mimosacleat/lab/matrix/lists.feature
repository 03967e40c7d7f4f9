Feature: Each fault at each step of a list change

  Scenario Outline: a list change <moment> when <fault>
    When a list change <moment> when <fault>
    Then every accepted list change is in force everywhere within ten seconds and none reverts

    Examples:
      | moment                 | fault                                                                   |
      | is about to be written | the proxy that accepted it dies                                         |
      | is about to be written | another proxy dies                                                      |
      | is about to be written | all proxies die                                                         |
      | is about to be written | the store is down                                                       |
      | is about to be written | the answers of the store are lost                                       |
      | is about to be written | messages are lost                                                       |
      | is about to be written | messages are delayed                                                    |
      | is about to be written | two operators edit concurrently                                         |
      | is about to be written | two operators edit concurrently while the answers of the store are lost |
      | is written             | the proxy that accepted it dies                                         |
      | is written             | another proxy dies                                                      |
      | is written             | all proxies die                                                         |
      | is written             | the store is down                                                       |
      | is written             | the answers of the store are lost                                       |
      | is written             | messages are lost                                                       |
      | is written             | messages are delayed                                                    |
      | is written             | two operators edit concurrently                                         |
      | is written             | two operators edit concurrently while the answers of the store are lost |
      | has reached one proxy  | the proxy that accepted it dies                                         |
      | has reached one proxy  | another proxy dies                                                      |
      | has reached one proxy  | all proxies die                                                         |
      | has reached one proxy  | the store is down                                                       |
      | has reached one proxy  | the answers of the store are lost                                       |
      | has reached one proxy  | messages are lost                                                       |
      | has reached one proxy  | messages are delayed                                                    |
      | has reached one proxy  | two operators edit concurrently                                         |
      | has reached one proxy  | two operators edit concurrently while the answers of the store are lost |
      | is in force everywhere | the proxy that accepted it dies                                         |
      | is in force everywhere | another proxy dies                                                      |
      | is in force everywhere | all proxies die                                                         |
      | is in force everywhere | the store is down                                                       |
      | is in force everywhere | the answers of the store are lost                                       |
      | is in force everywhere | messages are lost                                                       |
      | is in force everywhere | messages are delayed                                                    |
      | is in force everywhere | two operators edit concurrently                                         |
      | is in force everywhere | two operators edit concurrently while the answers of the store are lost |
