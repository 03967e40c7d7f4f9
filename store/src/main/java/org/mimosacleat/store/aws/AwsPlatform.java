package org.mimosacleat.store.aws;

import java.time.Duration;
import java.time.InstantSource;
import org.mimosacleat.store.object.ObjectStore;
import org.mimosacleat.store.object.OutcomeResolvingObjectStore;
import org.mimosacleat.store.object.PacedObjectStore;
import org.mimosacleat.store.pacing.StorePacer;
import org.mimosacleat.store.table.OutcomeResolvingTableService;
import org.mimosacleat.store.table.PacedTableService;
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
 * The clients of the platform's services for one process. Requests are paced, and the outcomes of
 * writes whose answers were lost are resolved. Close it to release the connections.
 */
public final class AwsPlatform implements AutoCloseable {
  // Also ends calls that TimeoutExecutor has abandoned.
  private static final Duration SOCKET_TIMEOUT = Duration.ofSeconds(15);

  private final SdkHttpClient httpClient;
  private final DynamoDbClient tableClient;
  private final S3Client objectClient;
  private final TimeoutExecutor executor = new TimeoutExecutor();
  private final TableService table;
  private final ObjectStore objects;
  private final VmList vmList;

  /**
   * Creates the clients; sends no request.
   *
   * @param settings the addresses, credentials and timeout of the services
   * @param tablePacer the pacer of this process's requests to the table service
   * @param objectPacer the pacer of this process's requests to the object store
   * @param clock the clock for timeouts
   */
  public AwsPlatform(
      PlatformSettings settings,
      StorePacer tablePacer,
      StorePacer objectPacer,
      InstantSource clock) {
    this.httpClient =
        UrlConnectionHttpClient.builder()
            .connectionTimeout(settings.timeout())
            .socketTimeout(SOCKET_TIMEOUT)
            .build();
    this.tableClient =
        configure(DynamoDbClient.builder(), settings)
            .endpointOverride(settings.tableEndpoint())
            .httpClient(httpClient)
            .build();
    this.objectClient =
        configure(S3Client.builder(), settings)
            .endpointOverride(settings.objectEndpoint())
            .httpClient(httpClient)
            .forcePathStyle(true)
            .requestChecksumCalculation(RequestChecksumCalculation.WHEN_REQUIRED)
            .responseChecksumValidation(ResponseChecksumValidation.WHEN_REQUIRED)
            .serviceConfiguration(service -> service.chunkedEncodingEnabled(false))
            .build();
    DynamoTableService dynamo = new DynamoTableService(tableClient, settings.table(), executor);
    S3ObjectStore s3 = new S3ObjectStore(objectClient, settings.bucket(), executor);
    this.table = new OutcomeResolvingTableService(new PacedTableService(dynamo, tablePacer), clock);
    this.objects = new OutcomeResolvingObjectStore(new PacedObjectStore(s3, objectPacer), clock);
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

  /** Returns the VM list. */
  public VmList vmList() {
    return vmList;
  }

  @Override
  public void close() {
    executor.close();
    tableClient.close();
    objectClient.close();
    httpClient.close();
  }

  private static <B extends AwsClientBuilder<B, C>, C> B configure(
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
