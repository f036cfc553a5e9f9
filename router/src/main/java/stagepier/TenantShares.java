package stagepier;

import java.util.List;
import java.util.SplittableRandom;

/** Tells which requests are beyond their tenant's share. */
final class TenantShares {
    private final List<Api.Tenant> tenants;
    private final double sumOfShares;
    private final List<FadingCount> calls;
    private final FadingCount allCalls = new FadingCount();

    TenantShares(List<Api.Tenant> tenants) {
        this.tenants = tenants;
        sumOfShares = tenants.stream().mapToDouble(Api.Tenant::share).sum();
        calls = tenants.stream().map(tenant -> new FadingCount()).toList();
    }

    /** By chance, as often as the tenant's part of requests exceeds its share. */
    boolean exceeds(double now, int tenant, double fades, SplittableRandom random) {
        if (tenant < 0 || tenant >= calls.size() || sumOfShares <= 0) {
            return false;
        }
        calls.get(tenant).add(now, 1, fades);
        allCalls.add(now, 1, fades);
        double due = allCalls.at(now, fades) * tenants.get(tenant).share() / sumOfShares;
        return random.nextDouble() * calls.get(tenant).at(now, fades) > due + Math.sqrt(due);
    }
}
