package stagepier.lab.scale.discovery;

import stagepier.lab.standin.DiscoveryBehaviour;

/**
 * What is measured.
 *
 * @param watches routers that watch the one service
 * @param servers cache servers on its list
 */
public record DiscoverySetting(int watches, int servers, long seed, DiscoveryBehaviour manners, WatchTimes times) {}
