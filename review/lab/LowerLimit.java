import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * The operator lowers the limit of a tenant that is idle. After all bounds have passed, the tenant sends many times the
 * new limit.
 */
final class LowerLimit {
    private static final int MACHINES = 8;

    /** The limit that the users' example has, and one far below it. */
    private static final long RATE = 112_368;
    private static final long LOWER = 5_000;

    /** `quotaWindowS`, `quotaOverage` and `quotaSlack` of the small site. */
    private static final int WINDOW_MILLIS = 8_000;
    private static final double OVERAGE = 0.1;
    private static final double SLACK = 110_000;

    /** `configApplyMs`, a window and a second: from the confirmation to the first request. */
    private static final long WAIT_MILLIS = 3_000 + WINDOW_MILLIS + 1_000;
    private static final String TOKENS = "5000,70";
    private static final int CLIENTS = 40;
    private static final long SEND_MILLIS = 7_000;

    private LowerLimit() {}

    public static void main(String[] args) throws Exception {
        Lab.run(args[0], LowerLimit::play);
    }

    private static int play(Lab lab) throws Exception {
        long first = Lab.trouble() ? RATE : LOWER;
        lab.store.put("config", "main", lab.config(7, first, first));
        for (String zone : List.of("perth-north", "sydney-west", "perth-south")) {
            lab.replica("model", "prefill", "v1", zone);
            lab.replica("model", "decode", "v1", zone).workMillis = 5;
            lab.replica("model", "decode", "v1", zone).workMillis = 5;
        }
        lab.startMachines(MACHINES);
        Thread.sleep(15_000);
        if (Lab.trouble()) {
            lab.store.put("config", "main", lab.config(9, LOWER, LOWER));
            lab.ledger.say("the store confirms version 9: ratePerS and burstSize of the tenant fall from " + RATE + " to "
                + LOWER);
        }
        Thread.sleep(WAIT_MILLIS);
        long end = lab.ledger.millis() + SEND_MILLIS;
        CountDownLatch ended = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Http.daemon("client", () -> {
                for (int sent = 0; lab.ledger.millis() < end; sent++) {
                    Machine machine = lab.machines.get((number + sent) % MACHINES);
                    Client.Answer answer = Client.send(lab.ledger, machine.front, "POST",
                        "/blurb/c" + number + "x" + sent, TOKENS, 0, null, 14_000, 3_600);
                    Lab.sleep(answer.status == 200 ? 20 : 250);
                }
                ended.countDown();
            });
        }
        ended.await();
        return judge(lab);
    }

    /** The fullest window: tokens of requests that were sent and that arrived at a replica in it. */
    private static int judge(Lab lab) {
        List<Ledger.Run> runs = lab.ledger.runs();
        long most = 0;
        for (Ledger.Run from : runs) {
            long sum = 0;
            for (Ledger.Run run : runs) {
                if (run.began >= from.began && run.began < from.began + WINDOW_MILLIS - 1_000) {
                    sum += run.tokens;
                }
            }
            most = Math.max(most, sum);
        }
        double bound = (LOWER * (WINDOW_MILLIS / 1_000.0) + LOWER) * (1 + OVERAGE) + SLACK;
        lab.ledger.say("tokens of requests that ran in the fullest window: " + most + "; allowed: " + (long) bound);
        lab.ledger.say(most > bound ? "QUOTA is broken" : "QUOTA holds");
        return most > bound ? 1 : 0;
    }
}
