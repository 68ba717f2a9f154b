import java.util.List;
import java.util.Map;

/**
 * A configuration makes a tenant isolated. Another tenant's request must not use KV cache that the isolated tenant's
 * requests have made, also from before the change.
 */
final class IsolatedTenant {
    private static final long CONFIG_APPLY_MILLIS = 2000;

    public static void main(String[] arguments) {
        Cases.run(arguments[0], IsolatedTenant::play);
    }

    private static boolean play(Deployment deployment) throws Exception {
        List<Object> routes =
            List.of(Deployment.route("r-1", "/notes/", "streaming", "petal-lm", 6000, 2, true));
        List<Object> services = List.of(Deployment.modelService("petal-lm", "m0"));
        deployment.configure(3, routes, services, tenants(false));
        deployment.nameWeights("m0", 1);
        for (int i = 0; i < 2; i++) deployment.model("petal-lm", "m0", 1);
        deployment.start(2);
        // Once the gateways have read the replicas' weights and each other's messages.
        Replica.pause(1500);
        for (int i = 0; i < 6; i++) send(deployment, "before-" + i, "key-of-archive", i);
        if (Deployment.HAS_TROUBLE) deployment.configure(7, routes, services, tenants(true));
        Replica.pause(CONFIG_APPLY_MILLIS + 1000);
        for (int i = 0; i < 6; i++) send(deployment, "after-" + i, "key-of-florist", i);
        int broken = 0;
        for (Replica replica : deployment.replicas) {
            for (Replica.Run run : replica.runs) {
                boolean usesForeign = run.usedParts().stream().anyMatch(part -> part.contains("<archive/"));
                boolean isBroken = Deployment.HAS_TROUBLE && "florist".equals(run.tenant()) && usesForeign;
                if (isBroken) {
                    broken++;
                    deployment.record.line("WALL: %s of tenant florist used %s of the isolated tenant archive",
                        run.attempt(), run.usedParts());
                }
            }
        }
        deployment.record.line("%d requests used KV cache of the isolated tenant", broken);
        return broken == 0;
    }

    private static List<Object> tenants(boolean isIsolated) {
        return List.of(Deployment.tenant("archive", isIsolated, "key-of-archive"),
            Deployment.tenant("florist", false, "key-of-florist"));
    }

    // All prompts begin with the same two parts, as those of one application do.
    private static void send(Deployment deployment, String attempt, String key, int number) throws Exception {
        Gateway gateway = deployment.gateways.get(number % deployment.gateways.size());
        String fields = Deployment.generation(attempt, key, "m0", "5c1e07a2:800,91bd3f06:410,e" + attempt.length()
            + number + ":250", 8, 6000);
        try (Client client = new Client(gateway.callers, 8000)) {
            Client.Answer answer = deployment.exchange(client, attempt,
                Client.request("POST", "/notes/2f", Deployment.HOST, fields, "{}"));
            if (answer.status != 200 || answer.fault != null) throw new IllegalStateException("not served: " + answer);
        }
    }
}
