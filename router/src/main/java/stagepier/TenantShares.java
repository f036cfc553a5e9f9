package stagepier;

import java.util.List;
import java.util.SplittableRandom;

/** Decides which requests exceed their tenant's share. */
final class TenantShares {
    private final List<Api.Tenant> tenants;
    private final double totalShare;
    private final List<FadingCount> requests;
    private final FadingCount allRequests = new FadingCount();

    TenantShares(List<Api.Tenant> tenants) {
        this.tenants = tenants;
        totalShare = tenants.stream().mapToDouble(Api.Tenant::share).sum();
        requests = tenants.stream().map(tenant -> new FadingCount()).toList();
    }

    /** Returns true at random, as often as the tenant's part of all requests exceeds its share. */
    boolean exceeds(double now, int tenant, double decayTime, SplittableRandom random) {
        if (tenant < 0 || tenant >= requests.size() || totalShare <= 0) {
            return false;
        }
        requests.get(tenant).add(now, 1, decayTime);
        allRequests.add(now, 1, decayTime);
        double quota = allRequests.value(now, decayTime) * tenants.get(tenant).share() / totalShare;
        return random.nextDouble() * requests.get(tenant).value(now, decayTime) > quota + Math.sqrt(quota);
    }
}
