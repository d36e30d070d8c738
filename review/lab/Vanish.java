import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Planned work, again and again: three empty decode replicas are added, and a moment later three others are taken
 * away. These never say `draining`: their entries are removed, and they go on to serve.
 */
final class Vanish {
    private static final int MACHINES = 8;
    private static final long DRAIN_MILLIS = 3_000;

    /** Replicas of the service, and how many of them are taken away at a time: a share of 0.125. */
    private static final int DECODE = 16;
    private static final int PREFILL = 8;
    private static final int STEP = 3;
    private static final int STEPS = 10;
    private static final int STEP_SECONDS = 6;

    /** The sheet has 12.8 streams a second, and a burst doubles them. */
    private static final int PER_SECOND = 25;

    /** Long prompts; the sheet has 5,000 tokens on average, the site file 11,000 at most. */
    private static final int LEAST_TOKENS = 6_000;
    private static final int MOST_TOKENS = 11_000;
    private static final List<String> ZONES = List.of("perth-north", "sydney-west", "perth-south");

    private Vanish() {}

    public static void main(String[] args) throws Exception {
        Lab.run(args[0], Vanish::play);
    }

    private static int play(Lab lab) throws Exception {
        lab.store.put("config", "main", lab.config(7, 2_000_000, 2_000_000));
        List<Replica> decode = new ArrayList<>();
        List<Replica> prefill = new ArrayList<>();
        for (int i = 0; i < DECODE; i++) {
            decode.add(lab.replica("model", "decode", "v1", ZONES.get(i % 3)));
        }
        for (int i = 0; i < PREFILL; i++) {
            prefill.add(lab.replica("model", "prefill", "v1", ZONES.get(i % 3)));
        }
        lab.startMachines(MACHINES);
        Thread.sleep(15_000);
        Thread pauses = Http.daemon("pauses", () -> pauses(lab, prefill));
        int sent = 0;
        CountDownLatch ended = new CountDownLatch(STEPS * STEP_SECONDS * PER_SECOND);
        for (int step = 0; step < STEPS; step++) {
            for (int tick = 0; tick < STEP_SECONDS * PER_SECOND; tick++) {
                if (tick == PER_SECOND) {
                    step(lab, decode);
                }
                int number = sent++;
                Http.daemon("client", () -> {
                    int tokens = ThreadLocalRandom.current().nextInt(LEAST_TOKENS, MOST_TOKENS);
                    Client.send(lab.ledger, lab.machines.get(number % MACHINES).front, "POST", "/blurb/c" + number,
                        tokens + ",70", 0, null, 14_000, 3_600);
                    ended.countDown();
                });
                Thread.sleep(1_000 / PER_SECOND);
            }
        }
        ended.await();
        pauses.interrupt();
        long latest = lab.ledger.latestAfterLeaving();
        lab.ledger.say("the last request reached a replica " + latest + " ms after it left; allowed: " + DRAIN_MILLIS);
        lab.ledger.say(latest > DRAIN_MILLIS ? "DRAIN is broken" : "DRAIN holds");
        return latest > DRAIN_MILLIS ? 1 : 0;
    }

    /** Sound replicas fall silent for a second now and then, one at a time. */
    private static void pauses(Lab lab, List<Replica> prefill) {
        for (int i = 0; !Thread.currentThread().isInterrupted(); i++) {
            prefill.get(i % prefill.size()).silentUntil = lab.ledger.millis() + 1_000;
            Lab.sleep(1_000);
        }
    }

    private static void step(Lab lab, List<Replica> decode) throws Exception {
        List<Replica> old = new ArrayList<>(decode.subList(0, STEP));
        decode.subList(0, STEP).clear();
        for (Replica replica : old) {
            decode.add(lab.replica("model", "decode", "v1", replica.zone));
        }
        Thread.sleep(50);
        lab.ledger.say(STEP + " of " + (DECODE + PREFILL) + " replicas of the service leave");
        for (Replica replica : old) {
            replica.leave(!Lab.trouble());
        }
    }
}
