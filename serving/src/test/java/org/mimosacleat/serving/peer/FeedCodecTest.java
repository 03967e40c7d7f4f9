package org.mimosacleat.serving.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mimosacleat.serving.feed.FeedPage;
import org.mimosacleat.serving.feed.FeedRow;
import org.mimosacleat.serving.version.StoreEra;

class FeedCodecTest {
  private static final int ROW_BYTES = 65_536;
  private static final List<String> KEYS =
      List.of("", " ", "a\r\nb", "\u0000", "é".repeat(100), "k".repeat(200), "𝕜".repeat(50));

  /** Guards against: a row that a proxy can't decode is not passed on as it is. */
  @Test
  void rowsOfAnyKeyAndValueArePassedOn() throws IOException {
    byte[] value = new byte[ROW_BYTES];
    List<FeedRow> rows = KEYS.stream().map(key -> new FeedRow(key, value, 7, false)).toList();
    FeedPage page = new FeedPage("servers", new StoreEra(2), 3, 9, rows);

    byte[] bytes = PeerFrameCodec.encode(new PeerFrame.Changes(page));
    PeerFrame.Changes decoded = (PeerFrame.Changes) PeerFrameCodec.decode(bytes);

    assertEquals(KEYS, decoded.page().rows().stream().map(FeedRow::key).toList());
    assertArrayEquals(value, decoded.page().rows().getLast().value());
  }

  /** Guards against: a key with half a surrogate pair ends the task that passes changes on. */
  @Test
  void keyThatIsNoUnicodeTextHidesNoOtherRow() throws IOException {
    FeedRow odd = new FeedRow("x" + (char) 0xd800, new byte[0], 7, false);
    FeedRow other = new FeedRow("i-1", new byte[] {1}, 8, false);
    FeedPage page = new FeedPage("servers", new StoreEra(2), 3, 9, List.of(odd, other));

    byte[] bytes = PeerFrameCodec.encode(new PeerFrame.Changes(page));
    PeerFrame.Changes decoded = (PeerFrame.Changes) PeerFrameCodec.decode(bytes);

    assertEquals("i-1", decoded.page().rows().getLast().key());
  }
}
