Feature: Each fault at each step of a graceful shutdown

  Scenario Outline: a drain <moment> when <fault>
    When a drain <moment> when <fault>
    Then the proxy exits without interrupting a request

    Examples:
      | moment                | fault                                  |
      | has not begun         | a long transaction runs at the home    |
      | has not begun         | a long answer is in flight to a client |
      | has not begun         | the table service is down              |
      | has not begun         | a new request arrives                  |
      | holds new requests    | a long transaction runs at the home    |
      | holds new requests    | a long answer is in flight to a client |
      | holds new requests    | the table service is down              |
      | holds new requests    | a new request arrives                  |
      | has handed over       | a long transaction runs at the home    |
      | has handed over       | a long answer is in flight to a client |
      | has handed over       | the table service is down              |
      | has handed over       | a new request arrives                  |
      | has stopped accepting | a long transaction runs at the home    |
      | has stopped accepting | a long answer is in flight to a client |
      | has stopped accepting | the table service is down              |
      | has stopped accepting | a new request arrives                  |

  @not-applicable
  Scenario Outline: a drain <moment> when <fault>: <reason>
    Then this cannot occur, because <reason>

    Examples:
      | moment                | fault              | reason                                                                           |
      | has stopped accepting | the home is paused | a stopped proxy is a paused proxy; its lease expires as in the matrix of a write |
