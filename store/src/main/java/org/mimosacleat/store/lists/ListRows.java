package org.mimosacleat.store.lists;

import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;
import org.mimosacleat.store.object.ObjectKey;
import org.mimosacleat.store.pacing.WriteId;
import org.mimosacleat.store.table.Attributes;
import org.mimosacleat.store.table.Row;
import org.mimosacleat.store.table.RowKey;

/** Defines the keys and attributes of the rows and objects that store the lists. */
final class ListRows {
  static final String HEAD_KIND = "list-head";

  private static final String VERSION = "list-version";
  private static final String OBJECT = "object";
  private static final String EDITOR = "editor";
  private static final String EDITED_AT = "edited-at";
  private static final String NOTE = "note";

  private ListRows() {}

  static RowKey headKey(ListKind kind) {
    return new RowKey(HEAD_KIND, kind.toString());
  }

  static RowKey versionKey(ListKind kind, ListVersion version) {
    return new RowKey("list-" + kind, padded(version));
  }

  static ObjectKey objectKey(ListKind kind, ListVersion version, WriteId writer) {
    return new ObjectKey("lists/" + kind + "/" + padded(version) + "-" + writer);
  }

  static ListHeads heads(List<Row> rows) {
    return new ListHeads(head(ListKind.PLANS, rows), head(ListKind.ALLOWANCES, rows));
  }

  static Attributes attributes(PublishedList list, ObjectKey object) {
    return Attributes.NONE
        .with(VERSION, list.version().number())
        .with(OBJECT, object.value())
        .with(EDITOR, list.editor())
        .with(EDITED_AT, list.editedAt())
        .with(NOTE, list.note());
  }

  static ListVersion version(Row row) {
    return new ListVersion(row.attributes().number(VERSION));
  }

  static ObjectKey objectKeyOf(Row row) {
    return new ObjectKey(row.attributes().text(OBJECT));
  }

  static PublishedList publishedList(ListKind kind, Row row, String text) {
    return new PublishedList(
        kind,
        version(row),
        row.writer().value(),
        row.attributes().text(EDITOR),
        row.attributes().instant(EDITED_AT),
        row.attributes().text(NOTE),
        text);
  }

  private static ListHead head(ListKind kind, List<Row> rows) {
    RowKey key = headKey(kind);
    Optional<Row> found = rows.stream().filter(row -> row.key().equals(key)).findFirst();
    return new ListHead(kind, found);
  }

  private static String padded(ListVersion version) {
    return String.format("%010d", version.number());
  }
}
