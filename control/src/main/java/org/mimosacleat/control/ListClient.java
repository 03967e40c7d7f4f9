package org.mimosacleat.control;

import io.vavr.control.Either;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;
import org.mimosacleat.core.store.StoreLimits;
import org.mimosacleat.core.store.StoreRateLimiter;
import org.mimosacleat.core.time.Sleeper;
import org.mimosacleat.store.aws.AwsPlatform;
import org.mimosacleat.store.lists.ListEdit;
import org.mimosacleat.store.lists.ListFetcher;
import org.mimosacleat.store.lists.ListPublisher;
import org.mimosacleat.store.lists.PublishResult;
import org.mimosacleat.store.pacing.StorePacer;

/** Accesses the lists on the platform; opened and closed by each command. */
final class ListClient implements AutoCloseable {
  private static final StoreLimits STORE_LIMITS =
      new StoreLimits(
          20, 20, Duration.ofMillis(100), Duration.ofSeconds(2), Duration.ofMillis(100));

  private final AwsPlatform platform;
  private final ListFetcher fetcher;
  private final ListPublisher publisher;
  private final Duration timeout;

  ListClient(ControlSettings settings) {
    InstantSource clock = InstantSource.system();
    SecureRandom random = new SecureRandom();
    this.platform =
        new AwsPlatform(settings.platform(), pacer(clock, random), pacer(clock, random), clock);
    this.fetcher = new ListFetcher(platform.table(), platform.objects());
    this.publisher = new ListPublisher(platform.table(), platform.objects(), clock, random);
    this.timeout = settings.platform().timeout();
  }

  Optional<PublishedList> newest(ListKind kind) {
    return orThrowUnavailable(fetcher.newest(kind, timeout));
  }

  PublishedList version(ListKind kind, ListVersion version) {
    return orThrowUnavailable(fetcher.version(kind, version, timeout))
        .orElseThrow(
            () ->
                new CommandException(
                    ExitCode.NOT_FOUND,
                    "version " + version + " does not exist in the list of " + kind));
  }

  List<PublishedList> history(ListKind kind, int limit) {
    return orThrowUnavailable(fetcher.history(kind, limit, timeout));
  }

  PublishResult publish(ListEdit edit) {
    return publisher.publish(edit, timeout);
  }

  private static <T> T orThrowUnavailable(Either<Failure, T> answer) {
    return answer.getOrElseThrow(
        failure -> new CommandException(ExitCode.UNAVAILABLE, failure.detail()));
  }

  private static StorePacer pacer(InstantSource clock, SecureRandom random) {
    return new StorePacer(new StoreRateLimiter(STORE_LIMITS, clock, random), clock, Sleeper.SYSTEM);
  }

  @Override
  public void close() {
    platform.close();
  }
}
