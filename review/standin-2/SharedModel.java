import java.util.ArrayList;
import java.util.List;

/**
 * Two services have replicas of one model, and a route is split between them. New weights of the model are named. The
 * system must bring the replicas of both services to them.
 */
final class SharedModel {
    private static final long VERSION_MILLIS = 8000;

    public static void main(String[] arguments) {
        Cases.run(arguments[0], SharedModel::play);
    }

    private static boolean play(Deployment deployment) throws Exception {
        var route = Deployment.route("r-1", "/notes/", "streaming", "petal-lm", 6000, 2, true);
        route.remove("backend");
        route.put("traffic_split", List.of(Json.of("backend", "petal-lm", "weight", 50),
            Json.of("backend", "petal-lm-2", "weight", 50)));
        List<Object> services =
            List.of(Deployment.modelService("petal-lm", "m0"), Deployment.modelService("petal-lm-2", "m0"));
        deployment.configure(3, List.of(route), services,
            List.of(Deployment.tenant("florist", false, "key-of-florist")));
        deployment.nameWeights("m0", 1);
        for (int i = 0; i < 4; i++) deployment.model("petal-lm", "m0", 1);
        for (int i = 0; i < 4; i++) deployment.model("petal-lm-2", "m0", 1);
        deployment.start(2);
        Replica.pause(1500);
        long end = deployment.record.millis() + 2 * VERSION_MILLIS + 4000;
        if (Deployment.HAS_TROUBLE) deployment.nameWeights("m0", 2);
        int number = 0;
        List<String> refusals = new ArrayList<>();
        while (deployment.record.millis() < end) {
            if (!isServed(deployment, "notes-" + number, number)) refusals.add("notes-" + number);
            number++;
            Replica.pause(100);
        }
        long newest = Deployment.HAS_TROUBLE ? 2 : 1;
        long outdated = deployment.replicas.stream().filter(replica -> replica.weights < newest).count();
        deployment.record.line("%d of %d replicas have older weights; %d of %d requests were not served", outdated,
            deployment.replicas.size(), refusals.size(), number);
        return outdated <= Math.max(1, deployment.replicas.size() / 10);
    }

    private static boolean isServed(Deployment deployment, String attempt, int number) throws Exception {
        Gateway gateway = deployment.gateways.get(number % deployment.gateways.size());
        String fields =
            Deployment.generation(attempt, "key-of-florist", "m0", "5c1e07a2:800,e" + number + ":250", 8, 6000);
        try (Client client = new Client(gateway.callers, 8000)) {
            Client.Answer answer = deployment.exchange(client, attempt,
                Client.request("POST", "/notes/2f", Deployment.HOST, fields, "{}"));
            return answer.status == 200 && answer.fault == null;
        }
    }
}
