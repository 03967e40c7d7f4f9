package org.mimosacleat.store.aws;

import static org.mimosacleat.core.settings.Setting.required;
import static org.mimosacleat.core.settings.Setting.withDefault;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.mimosacleat.core.settings.DurationType;
import org.mimosacleat.core.settings.Secret;
import org.mimosacleat.core.settings.SecretType;
import org.mimosacleat.core.settings.SectionForm;
import org.mimosacleat.core.settings.SectionSchema;
import org.mimosacleat.core.settings.Setting;
import org.mimosacleat.core.settings.SettingsSection;
import org.mimosacleat.core.settings.TextType;
import org.mimosacleat.core.settings.UriType;

/**
 * The settings of the connection to the platform's services. Add {@link #SCHEMA} to a settings
 * schema and read the validated section with {@link #from}.
 *
 * @param tableEndpoint the address of the table service
 * @param objectEndpoint the address of the object store
 * @param region the region that requests are signed for
 * @param accessKey the id of the access key that requests are signed with
 * @param secretKey the secret key that requests are signed with
 * @param table the name of the table
 * @param bucket the name of the bucket
 * @param timeout the timeout of a request
 */
public record PlatformSettings(
    URI tableEndpoint,
    URI objectEndpoint,
    String region,
    String accessKey,
    Secret secretKey,
    String table,
    String bucket,
    Duration timeout) {
  private static final Setting<URI> TABLE_ENDPOINT =
      required("table-endpoint", new UriType(), "Address of the table service (DynamoDB API).");
  private static final Setting<URI> OBJECT_ENDPOINT =
      required("object-endpoint", new UriType(), "Address of the object store (S3 API).");
  private static final Setting<String> REGION =
      required("region", new TextType(), "Region that requests are signed for.");
  private static final Setting<String> ACCESS_KEY =
      required("access-key", new TextType(), "Id of the access key that requests are signed with.");
  private static final Setting<Secret> SECRET_KEY =
      required("secret-key", new SecretType(1), "Secret key that requests are signed with.");
  private static final Setting<String> TABLE =
      withDefault("table", new TextType(), "mimosacleat", "Name of the table.");
  private static final Setting<String> BUCKET =
      withDefault("bucket", new TextType(), "mimosacleat", "Name of the bucket.");
  private static final Setting<Duration> TIMEOUT =
      withDefault(
          "timeout",
          new DurationType(Duration.ofMillis(10), Duration.ofMinutes(1)),
          "2s",
          "Timeout of a request to the platform.");

  /** The section {@code [platform]}. */
  public static final SectionSchema SCHEMA =
      new SectionSchema(
          "platform",
          SectionForm.SINGLE,
          "Connection to the platform's table service and object store.",
          List.of(
              TABLE_ENDPOINT,
              OBJECT_ENDPOINT,
              REGION,
              ACCESS_KEY,
              SECRET_KEY,
              TABLE,
              BUCKET,
              TIMEOUT));

  /** Returns the values of a validated section. */
  public static PlatformSettings from(SettingsSection section) {
    return new PlatformSettings(
        section.get(TABLE_ENDPOINT),
        section.get(OBJECT_ENDPOINT),
        section.get(REGION),
        section.get(ACCESS_KEY),
        section.get(SECRET_KEY),
        section.get(TABLE),
        section.get(BUCKET),
        section.get(TIMEOUT));
  }
}
