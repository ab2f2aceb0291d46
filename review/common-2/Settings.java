/** The settings of the deployments, with the figures of their site files. */
final class Settings {
    private Settings() {}

    private static String tenant(String name, double fraction, double quota) {
        return "{\"name\":\"" + name + "\",\"fraction\":" + fraction + ",\"quota-per-s\":" + quota + "}";
    }

    static final String[] OAXACA_TENANTS = {
        "oaxaca-centro", "santa-lucia", "xoxocotlan", "tlacolula", "zaachila", "etla", "ocotlan", "mitla"
    };

    /** cuentas-agua-oaxaca: two safe and two keyed classes, eight municipios, the list is pushed. */
    static String oaxaca() {
        return oaxaca(OAXACA_TENANTS);
    }

    /** The same with other municipios, each with the same share. */
    static String oaxaca(String[] tenants) {
        StringBuilder realms = new StringBuilder();
        for (String name : tenants) {
            realms.append(realms.length() == 0 ? "" : ",").append(tenant(name, 1.0 / tenants.length, 500));
        }
        return "{\"caps\":{\"cancel\":true,\"dial-timeout-us\":200000,\"idle-close-us\":60000000,\"max-attempts\":6,"
                + "\"may-duplicate\":false,\"peers\":false,\"probes\":true,\"retry-after\":true,"
                + "\"max-retry-after-us\":1000000},"
                + "\"classes\":["
                + "{\"name\":\"consulta-saldo\",\"semantics\":\"safe\",\"aim-us\":500000,\"give-up-us\":2000000,\"worth\":2.0},"
                + "{\"name\":\"datos-contacto\",\"semantics\":\"safe\",\"aim-us\":400000,\"give-up-us\":1500000,\"worth\":1.0},"
                + "{\"name\":\"pago-recibo\",\"semantics\":\"keyed\",\"key-scope\":\"zone\",\"window-us\":4000000,"
                + "\"aim-us\":500000,\"give-up-us\":2000000,\"worth\":8.0},"
                + "{\"name\":\"reconexion\",\"semantics\":\"keyed\",\"key-scope\":\"all\",\"window-us\":2000000,"
                + "\"aim-us\":500000,\"give-up-us\":1000000,\"worth\":8.0}],"
                + "\"deductions\":{\"cross-zone\":0.03,\"late-fail\":0.08,\"probe\":0.01,\"waste\":0.05},"
                + "\"discovery\":\"automatic\",\"granularity-us\":5000,\"group-size\":1,\"me\":0,"
                + "\"kinds\":[\"small\"],\"zones\":[\"sala-centro\",\"sala-norte\"],\"locality\":0,\"realms\":["
                + realms + "],"
                + "\"load-info\":{\"fields\":[\"depth\",\"concurrent\"],\"via\":\"answers\"},"
                + obligations(0.13, 24_000_000) + "}";
    }

    /** southern-refill: discovery is asked. */
    static String southernRefill() {
        return "{\"caps\":{\"cancel\":true,\"dial-timeout-us\":150000,\"idle-close-us\":60000000,\"max-attempts\":6,"
                + "\"may-duplicate\":true,\"peers\":false,\"probes\":true,\"retry-after\":true,"
                + "\"max-retry-after-us\":3000000},"
                + "\"classes\":["
                + "{\"name\":\"status\",\"semantics\":\"safe\",\"aim-us\":500000,\"give-up-us\":1200000,\"worth\":5.0},"
                + "{\"name\":\"refill\",\"semantics\":\"keyed\",\"key-scope\":\"all\",\"window-us\":6000000,"
                + "\"aim-us\":600000,\"give-up-us\":1200000,\"worth\":2.0},"
                + "{\"name\":\"mail-order\",\"semantics\":\"keyed\",\"key-scope\":\"cell\",\"window-us\":2000000,"
                + "\"aim-us\":800000,\"give-up-us\":3000000,\"worth\":3.0}],"
                + "\"deductions\":{\"cross-zone\":0.014,\"late-fail\":0.08,\"probe\":0.01,\"waste\":0.14},"
                + "\"discovery\":\"subscribe\",\"granularity-us\":5000,\"group-size\":1,\"me\":0,"
                + "\"kinds\":[\"small\"],\"zones\":[\"atlanta\",\"dallas\",\"charlotte\"],\"locality\":0,\"realms\":["
                + tenant("bayou-drug", 0.5, 100) + "," + tenant("piedmont-rx", 0.5, 100) + "],"
                + "\"load-info\":{\"fields\":[\"depth\"],\"via\":\"probe\"},"
                + obligations(0.32, 7_900_000) + "}";
    }

    private static String obligations(double coldFrom, long coldMicros) {
        return "\"obligations\":{\"answer-slack-us\":20000,\"ask-within-us\":10000000,\"cold-from\":" + coldFrom
                + ",\"cold-us\":" + coldMicros + ",\"fall-multiple\":3.0,\"overload-for-us\":3000000,"
                + "\"stop-sending-within-us\":500000}";
    }
}
