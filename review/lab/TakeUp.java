import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A machine loses power, and a moment later a release of the model service begins: its first replica of another
 * software version is listed. The clients of the machine take their streams up at the other machines.
 */
final class TakeUp {
    private static final int MACHINES = 8;
    private static final int STREAMS = 15;

    /** A client waits four times the objective of 900 ms for the next event. */
    private static final int GAP_MILLIS = 3_600;
    private static final int DEADLINE_MILLIS = 14_000;
    private static final String TOKENS = "5000,70";
    private static final int PIECES = 70;

    /** From the loss of power to the first entry of a replica of the new version. */
    private static final int RELEASE_MILLIS = 1_500;

    /** The largest for_s of the site file for machines that lose power. */
    private static final int DARK_MILLIS = 3_500;

    /** Attempts to take a stream up; the site's sheet has one. */
    private static final int ATTEMPTS = 3;

    private static final class Counts {
        final AtomicInteger resumed = new AtomicInteger();
        final AtomicInteger wentOn = new AtomicInteger();
        final AtomicInteger mixed = new AtomicInteger();
        final AtomicInteger begun = new AtomicInteger();
        final AtomicInteger asked = new AtomicInteger();
    }

    private TakeUp() {}

    public static void main(String[] args) throws Exception {
        Lab.run(args[0], TakeUp::play);
    }

    private static int play(Lab lab) throws Exception {
        lab.store.put("config", "main", lab.config(7, 2_000_000, 2_000_000));
        List<String> zones = List.of("perth-north", "sydney-west", "perth-south");
        for (String zone : zones) {
            lab.replica("model", "prefill", "v1", zone);
            lab.replica("model", "decode", "v1", zone);
            lab.replica("model", "decode", "v1", zone);
        }
        lab.startMachines(MACHINES);
        // Longer than contactMs and than the 15 s from the machines' start to the traffic of the site.
        Thread.sleep(15_000);
        Machine lost = lab.machines.get(3);
        Relay relay = new Relay(lab.address(50, Lab.FRONT), lost.front);
        Counts counts = new Counts();
        CountDownLatch ended = new CountDownLatch(STREAMS);
        for (int i = 0; i < STREAMS; i++) {
            int number = i;
            Http.daemon("client", () -> {
                try {
                    stream(lab, relay.address, number, counts);
                } finally {
                    ended.countDown();
                }
            });
            Thread.sleep(30);
        }
        Thread.sleep(900);
        if (Lab.trouble()) {
            lab.ledger.say(lost.name + " loses power");
            relay.goDark();
            lost.signal("KILL");
        }
        Thread.sleep(RELEASE_MILLIS);
        lab.ledger.say("the release begins: replicas of v2 enter, those of v1 stay");
        lab.replica("model", "decode", "v2", "perth-north");
        lab.replica("model", "decode", "v2", "sydney-west");
        if (Lab.trouble()) {
            Thread.sleep(DARK_MILLIS - RELEASE_MILLIS);
            relay.light();
            lost.start(false);
        } else {
            Thread.sleep(GAP_MILLIS - RELEASE_MILLIS);
        }
        CountDownLatch others = new CountDownLatch(2 * STREAMS);
        for (int i = 0; i < 2 * STREAMS; i++) {
            int number = i;
            Http.daemon("client", () -> {
                counts.asked.incrementAndGet();
                Client.Answer answer = Client.send(lab.ledger, other(lab, number).front, "POST", "/blurb/n" + number,
                    TOKENS, 0, null, DEADLINE_MILLIS, GAP_MILLIS);
                if (answer.first == 1) {
                    counts.begun.incrementAndGet();
                }
                others.countDown();
            });
            Thread.sleep(60);
        }
        ended.await();
        others.await();
        return judge(lab, counts);
    }

    private static int judge(Lab lab, Counts counts) {
        long v1 = lab.replicas.stream().filter(r -> r.stage.equals("decode") && r.version.equals("v1")).count();
        int resumed = counts.resumed.get();
        lab.ledger.say("new streams at machines in touch: " + counts.begun + " of " + counts.asked + " begin; " + v1
            + " decode replicas of v1 serve");
        lab.ledger.say("streams of v1 taken up there: " + counts.wentOn + " of " + resumed + " go on; pieces of two"
            + " versions: " + counts.mixed);
        if (resumed > 0 && resumed < 12) {
            lab.ledger.say("too few streams were taken up");
            return 2;
        }
        boolean lost = resumed > 0
            && counts.wentOn.get() / (double) resumed < 0.5 * counts.begun.get() / counts.asked.get();
        boolean broken = lost || counts.mixed.get() > 2;
        lab.ledger.say(broken ? "LOST is broken" : "LOST holds");
        return broken ? 1 : 0;
    }

    /** A machine in touch. */
    private static Machine other(Lab lab, int number) {
        List<Machine> others = new ArrayList<>(lab.machines);
        others.remove(3);
        return others.get(number % others.size());
    }

    /** One client: its stream, and up to three attempts to take it up. */
    private static void stream(Lab lab, String address, int number, Counts counts) {
        long began = lab.ledger.millis();
        String path = "/blurb/s" + number;
        Client.Answer first = Client.send(lab.ledger, address, "POST", path, TOKENS, 0, null, DEADLINE_MILLIS, GAP_MILLIS);
        if (first.whole || first.first == 0) {
            return;
        }
        counts.resumed.incrementAndGet();
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            long left = began + DEADLINE_MILLIS - lab.ledger.millis();
            Client.Answer next = Client.send(lab.ledger, other(lab, number + attempt).front, "POST", path, TOKENS,
                first.last, first.id, left, GAP_MILLIS);
            if (next.first > 0 && !next.versions.equals(first.versions)) {
                counts.mixed.incrementAndGet();
            }
            if (next.first == first.last + 1 && next.last == PIECES) {
                counts.wentOn.incrementAndGet();
            }
            if (next.status != 503 || next.retryAfter < 0) {
                return;
            }
            Lab.sleep((long) (next.retryAfter * 1_000));
        }
    }
}
