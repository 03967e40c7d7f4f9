package org.mimosacleat.store.aws;

import java.time.Duration;
import java.time.InstantSource;
import org.mimosacleat.store.object.ObjectStore;
import org.mimosacleat.store.object.PacedObjectStore;
import org.mimosacleat.store.object.SettlingObjectStore;
import org.mimosacleat.store.pacing.StorePacer;
import org.mimosacleat.store.table.PacedTableService;
import org.mimosacleat.store.table.SettlingTableService;
import org.mimosacleat.store.table.TableService;
import org.mimosacleat.store.vmlist.ObjectVmList;
import org.mimosacleat.store.vmlist.VmList;
import software.amazon.awssdk.auth.credentials.AwsBasicCredentials;
import software.amazon.awssdk.auth.credentials.StaticCredentialsProvider;
import software.amazon.awssdk.awscore.client.builder.AwsClientBuilder;
import software.amazon.awssdk.awscore.retry.AwsRetryStrategy;
import software.amazon.awssdk.core.checksums.RequestChecksumCalculation;
import software.amazon.awssdk.core.checksums.ResponseChecksumValidation;
import software.amazon.awssdk.http.SdkHttpClient;
import software.amazon.awssdk.http.urlconnection.UrlConnectionHttpClient;
import software.amazon.awssdk.regions.Region;
import software.amazon.awssdk.services.dynamodb.DynamoDbClient;
import software.amazon.awssdk.services.s3.S3Client;

/**
 * The platform's services as one process uses them: paced by the process's gate, and with lost
 * answers settled. Close it to release its connections.
 */
public final class AwsPlatform implements AutoCloseable {
  private static final Duration ABANDONED_CALL_TIMEOUT = Duration.ofSeconds(15);

  private final SdkHttpClient http;
  private final DynamoDbClient tableClient;
  private final S3Client objectClient;
  private final BoundedCalls calls = new BoundedCalls();
  private final TableService table;
  private final ObjectStore objects;
  private final VmList vmList;

  /**
   * Opens the clients; no call is made yet.
   *
   * @param settings where the services are
   * @param tablePacer the pacing of this process towards the table service
   * @param objectPacer the pacing of this process towards the object store
   * @param clock the time
   */
  public AwsPlatform(
      PlatformSettings settings,
      StorePacer tablePacer,
      StorePacer objectPacer,
      InstantSource clock) {
    this.http =
        UrlConnectionHttpClient.builder()
            .connectionTimeout(settings.timeout())
            .socketTimeout(ABANDONED_CALL_TIMEOUT)
            .build();
    this.tableClient =
        withAccess(DynamoDbClient.builder(), settings)
            .endpointOverride(settings.tableEndpoint())
            .httpClient(http)
            .build();
    this.objectClient =
        withAccess(S3Client.builder(), settings)
            .endpointOverride(settings.objectEndpoint())
            .httpClient(http)
            .forcePathStyle(true)
            .requestChecksumCalculation(RequestChecksumCalculation.WHEN_REQUIRED)
            .responseChecksumValidation(ResponseChecksumValidation.WHEN_REQUIRED)
            .serviceConfiguration(service -> service.chunkedEncodingEnabled(false))
            .build();
    DynamoTableService rows = new DynamoTableService(tableClient, settings.table(), calls);
    S3ObjectStore texts = new S3ObjectStore(objectClient, settings.bucket(), calls);
    this.table = new SettlingTableService(new PacedTableService(rows, tablePacer), clock);
    this.objects = new SettlingObjectStore(new PacedObjectStore(texts, objectPacer), clock);
    this.vmList = new ObjectVmList(objects);
  }

  /** Returns the table service. */
  public TableService table() {
    return table;
  }

  /** Returns the object store. */
  public ObjectStore objects() {
    return objects;
  }

  /** Returns the list of VMs. */
  public VmList vmList() {
    return vmList;
  }

  @Override
  public void close() {
    calls.close();
    tableClient.close();
    objectClient.close();
    http.close();
  }

  private static <B extends AwsClientBuilder<B, C>, C> B withAccess(
      B builder, PlatformSettings settings) {
    AwsBasicCredentials credentials =
        AwsBasicCredentials.create(settings.accessKey(), settings.secretKey().value());
    return builder
        .region(Region.of(settings.region()))
        .credentialsProvider(StaticCredentialsProvider.create(credentials))
        .overrideConfiguration(
            configuration -> configuration.retryStrategy(AwsRetryStrategy.doNotRetry()));
  }
}
