package org.mimosacleat.serving.feed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class FeedPositionTest {
  private static final long FIRST = 1;
  private static final long SECOND = 2;
  private static final FeedRow DRAINING = new FeedRow("i-1", new byte[0], 15, false);

  private final FeedPosition position = new FeedPosition();

  /** Pattern: an endpoint drains in the moment in which this proxy changes whom it follows. */
  @Test
  void storeIsAskedAfterChangeOfSource() {
    position.asked(10, FIRST);
    assertFalse(position.mustAsk(FIRST));

    assertTrue(position.mustAsk(SECOND));
    position.asked(20, SECOND);

    assertFalse(position.mustAsk(SECOND));
  }

  /** Pattern: the store does not answer when a gap is to be filled. */
  @Test
  void storeIsAskedUntilGapIsFilled() {
    position.asked(10, FIRST);

    assertEquals(Optional.empty(), position.accept(new FeedPage("servers", 14, 16, List.of())));

    assertTrue(position.mustAsk(FIRST));
    assertEquals(10, position.version().orElseThrow());
    position.asked(16, FIRST);
    assertFalse(position.mustAsk(FIRST));
  }

  @Test
  void onlyNewRowsOfPageAreAccepted() {
    position.asked(10, FIRST);
    FeedRow known = new FeedRow("i-0", new byte[0], 9, false);

    FeedPage page = new FeedPage("servers", 8, 16, List.of(known, DRAINING));

    assertEquals(Optional.of(List.of(DRAINING)), position.accept(page));
    assertEquals(16, position.version().orElseThrow());
  }

  @Test
  void pageThatIsKnownAlreadyChangesNothing() {
    position.asked(20, FIRST);

    FeedPage page = new FeedPage("servers", 8, 16, List.of(DRAINING));

    assertEquals(Optional.of(List.of()), position.accept(page));
    assertEquals(20, position.version().orElseThrow());
  }
}
