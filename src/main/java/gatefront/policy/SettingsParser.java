package gatefront.policy;

import gatefront.policy.Balancer.LoadField;
import gatefront.policy.Balancer.Scope;
import gatefront.policy.Balancer.Semantics;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Converts settings given as path=value pairs into {@link Balancer.Settings}. Unknown keys are ignored. */
public final class SettingsParser {
    private static final Map<String, LoadField> LOAD_FIELDS = Map.of(
            "concurrent",
            LoadField.IN_FLIGHT,
            "depth",
            LoadField.QUEUED,
            "load_share",
            LoadField.CPU_SHARE,
            "mean_ms",
            LoadField.MEAN_MILLIS,
            "tps",
            LoadField.SERVED_PER_SECOND,
            "err_ps",
            LoadField.ERRORS_PER_SECOND);

    private final Map<String, String> pairs;

    private SettingsParser(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /**
     * Parses the settings in the text format of the protocol.
     *
     * @param text one path=value pair per line
     * @return the settings
     * @throws IllegalArgumentException if a value is missing or unusable; the message names it
     */
    public static Balancer.Settings parse(String text) {
        Map<String, String> pairs = new HashMap<>();
        for (String line : text.split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                pairs.put(
                        line.substring(0, equals).trim(),
                        line.substring(equals + 1).trim());
            }
        }
        return parse(pairs);
    }

    /**
     * Parses settings from a map.
     *
     * @param pairs the values by their paths
     * @return the settings
     * @throws IllegalArgumentException if a value is missing or unusable; the message names it
     */
    public static Balancer.Settings parse(Map<String, String> pairs) {
        return new SettingsParser(pairs).settings();
    }

    private Balancer.Settings settings() {
        var permits = new Balancer.Permits(
                (int) atLeast(1, "caps.max-attempts"),
                flag("caps.may-duplicate"),
                flag("caps.cancel"),
                flag("caps.probes"),
                flag("caps.peers"),
                flag("caps.retry-after") ? rounded("caps.max-retry-after-us") : 0);
        var obligations = new Balancer.Obligations(
                rounded("obligations.answer-slack-us"),
                rounded("obligations.stop-sending-within-us"),
                number("obligations.cold-from"),
                atLeast(1, "obligations.cold-us"),
                number("obligations.fall-multiple"),
                atLeast(1, "obligations.overload-for-us"),
                has("obligations.ask-within-us") ? rounded("obligations.ask-within-us") : 0);
        var prices = new Balancer.Prices(
                number("deductions.cross-zone", 0),
                number("deductions.probe", 0),
                number("deductions.waste", 0),
                number("deductions.late-fail", 0),
                number("deductions.peer", 0));
        var goal = new Balancer.Goal(
                number("objective-mix.whole", 1), number("objective-mix.worst-window", 0),
                number("objective-mix.worst-class", 0), number("objective-mix.worst-tenant", 0));
        List<LoadField> fields = new ArrayList<>();
        if (!text("load-info.via", "none").equals("none")) {
            for (String name : list("load-info.fields")) {
                fields.add(LOAD_FIELDS.get(name)); // null for a field without a meaning here
            }
        }
        return new Balancer.Settings(
                (int) atLeast(0, "me"),
                (int) atLeast(1, "group-size"),
                (int) atLeast(0, "locality"),
                zones(),
                atLeast(1, "granularity-us"),
                required("discovery").equals("subscribe"),
                text("family-info.warm-keys", "false").equals("true"),
                !text("weight-source", "none").equals("none"),
                text("worth-by", "request").equals("work"),
                number("over-share-worth", 1),
                permits,
                obligations,
                prices,
                goal,
                classes(),
                tenants(),
                Collections.unmodifiableList(fields));
    }

    private int zones() {
        int zones = list("zones").size();
        if (zones <= atLeast(0, "locality")) {
            throw unusable("locality");
        }
        return zones;
    }

    private List<Balancer.RequestClass> classes() {
        List<Balancer.RequestClass> classes = new ArrayList<>();
        long count = atLeast(0, "classes.count");
        for (int i = 0; i < count; i++) {
            String prefix = "classes." + i + ".";
            classes.add(new Balancer.RequestClass(
                    atLeast(1, prefix + "aim-us"),
                    number(prefix + "aim-stretch", 0),
                    atLeast(1, prefix + "give-up-us"),
                    semantics(prefix + "semantics"),
                    scope(text(prefix + "key-scope", "all"), prefix + "key-scope"),
                    has(prefix + "window-us") ? rounded(prefix + "window-us") : 0,
                    number(prefix + "worth", 1),
                    number(prefix + "late-share", 0),
                    text(prefix + "stream", "false").equals("true")));
        }
        return List.copyOf(classes);
    }

    private List<Balancer.Tenant> tenants() {
        List<Balancer.Tenant> tenants = new ArrayList<>();
        long count = has("realms.count") ? rounded("realms.count") : 0;
        for (int i = 0; i < count; i++) {
            String prefix = "realms." + i + ".";
            tenants.add(new Balancer.Tenant(number(prefix + "quota-per-s", 0), number(prefix + "fraction", 0)));
        }
        return List.copyOf(tenants);
    }

    private Semantics semantics(String key) {
        return switch (required(key)) {
            case "safe" -> Semantics.SAFE;
            case "keyed" -> Semantics.KEYED;
            case "unsafe" -> Semantics.UNSAFE;
            default -> throw unusable(key);
        };
    }

    private Scope scope(String word, String key) {
        return switch (word) {
            case "all" -> Scope.ALL;
            case "zone" -> Scope.ZONE;
            case "cell" -> Scope.CELL;
            default -> throw unusable(key);
        };
    }

    private boolean has(String key) {
        return pairs.containsKey(key);
    }

    private String required(String key) {
        String value = pairs.get(key);
        if (value == null) {
            throw new IllegalArgumentException("settings: " + key + " is missing");
        }
        return value;
    }

    private String text(String key, String defaultValue) {
        return pairs.getOrDefault(key, defaultValue);
    }

    private List<String> list(String key) {
        String value = text(key, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private boolean flag(String key) {
        return switch (required(key)) {
            case "true" -> true;
            case "false" -> false;
            default -> throw unusable(key);
        };
    }

    private long rounded(String key) {
        return Math.round(number(key));
    }

    private long atLeast(long min, String key) {
        long value = rounded(key);
        if (value < min) {
            throw unusable(key);
        }
        return value;
    }

    private double number(String key, double defaultValue) {
        return has(key) ? number(key) : defaultValue;
    }

    private double number(String key) {
        try {
            double value = Double.parseDouble(required(key));
            if (!Double.isFinite(value)) {
                throw unusable(key);
            }
            return value;
        } catch (NumberFormatException e) {
            throw unusable(key);
        }
    }

    private IllegalArgumentException unusable(String key) {
        return new IllegalArgumentException("settings: " + key + " has an unusable value: " + pairs.get(key));
    }
}
