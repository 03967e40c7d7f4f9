Feature: Each fault at each step of a debit

  Scenario Outline: a debit <moment> when <fault>
    When a debit <moment> when <fault>
    Then the spending until expiry does not exceed the grant

    Examples:
      | moment                 | fault                                     |
      | has not begun          | the table service is down                 |
      | has not begun          | the answers of the table service are lost |
      | has not begun          | a write is applied late                   |
      | has not begun          | the proxy that debits dies                |
      | has not begun          | the proxy that debits pauses              |
      | has not begun          | both proxies die                          |
      | is in force            | the table service is down                 |
      | is in force            | the answers of the table service are lost |
      | is in force            | a write is applied late                   |
      | is in force            | the proxy that debits dies                |
      | is in force            | the proxy that debits pauses              |
      | is in force            | both proxies die                          |
      | has used up its period | the table service is down                 |
      | has used up its period | the answers of the table service are lost |
      | has used up its period | a write is applied late                   |
      | has used up its period | the proxy that debits dies                |
      | has used up its period | the proxy that debits pauses              |
      | has used up its period | both proxies die                          |

  @not-applicable
  Scenario Outline: a debit <moment> when <fault>: <reason>
    Then this cannot occur, because <reason>

    Examples:
      | moment        | fault             | reason                                  |
      | has not begun | an endpoint fails | a debit sends no request to an endpoint |
      | is in force   | an endpoint fails | a debit sends no request to an endpoint |
