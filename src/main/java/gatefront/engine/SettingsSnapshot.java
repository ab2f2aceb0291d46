package gatefront.engine;

import gatefront.policy.Balancer;
import java.util.List;

/**
 * The settings that were in force when a request began to arrive. A reload that comes while the request is received,
 * queued, attempted or answered changes nothing for it.
 *
 * @param settings settings of the decision module
 * @param classes names of the request classes, by index
 * @param tenants names of the tenants, by index; empty if requests have no tenant
 */
public record SettingsSnapshot(Balancer.Settings settings, List<String> classes, List<String> tenants) {}
