import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/** One attempt of a client, as PROTOCOL.md tells it. */
final class Client {
    private static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xffffffL);

    /** How an attempt ended. */
    static final class Answer {
        String id = "";
        int status;
        int first;
        int last;
        boolean whole;
        boolean silent;
        String versions = "";
        String body = "";
        double retryAfter = -1;
        String fault = "";

        @Override
        public String toString() {
            if (status == 0) {
                return silent ? "no answer, silent" : "no answer, " + fault;
            }
            String text = status + (first > 0 ? " pieces " + first + " to " + last + " of" + versions : "");
            return text + (whole ? ", whole" : silent ? ", then silent" : ", broken off " + fault)
                + (status >= 400 ? " " + body : "") + (retryAfter >= 0 ? " Retry-After " + retryAfter : "");
        }
    }

    private Client() {}

    static String newId() {
        return Long.toHexString(IDS.incrementAndGet() * 0x9e3779b97f4a7c15L);
    }

    /**
     * Sends a request on a new channel to [address] and reads the answer. Gives up after [gapMillis] without a byte.
     *
     * @param tokens value of X-Token-Count, or null.
     * @param last the last event that the client has, 0 for none; [resumes] is the attempt that brought the first one.
     */
    static Answer send(Ledger ledger, String address, String method, String path, String tokens, int last,
        String resumes, long deadlineMillis, int gapMillis) {
        return send(ledger, address, method, path, tokens, last, resumes, deadlineMillis, gapMillis, Lab.KEY);
    }

    /** Sends an order with [key]. */
    static Answer order(Ledger ledger, String address, String path, String key) {
        return send(ledger, address, "POST", path, null, 0, null, 1_500, 1_500, key);
    }

    private static Answer send(Ledger ledger, String address, String method, String path, String tokens, int last,
        String resumes, long deadlineMillis, int gapMillis, String key) {
        Answer answer = new Answer();
        answer.id = newId();
        Map<String, String> fields = new TreeMap<>();
        fields.put("Host", Lab.HOST);
        fields.put("X-Request-Id", answer.id);
        fields.put("X-Deadline-Ms", Long.toString(deadlineMillis));
        fields.put("Authorization", "Bearer " + key);
        if (tokens != null) {
            fields.put("X-Model", "m");
            fields.put("X-Token-Count", tokens);
            // The last part belongs to the request, which is the same at each attempt.
            String part = Integer.toHexString(path.hashCode());
            fields.put("X-Prompt-Prefix", "5c1e07a2:200," + part + ":" + (Integer.parseInt(tokens.split(",")[0]) - 200));
        }
        if (resumes != null) {
            fields.put("Last-Event-Id", Integer.toString(last));
            fields.put("Resumes", resumes);
        }
        ledger.add("client sends " + answer.id + " " + method + " " + path + " to " + address
            + (resumes == null ? "" : ", resumes " + resumes + " after " + last));
        try (Http.Wire wire = Http.Wire.connect(address, 1_000)) {
            wire.setTimeout(gapMillis);
            byte[] body = method.equals("POST") ? new byte[600] : new byte[0];
            wire.send(method + " " + path + " HTTP/1.1", fields, body);
            read(wire, answer);
        } catch (SocketTimeoutException e) {
            answer.silent = true;
        } catch (IOException e) {
            answer.fault = String.valueOf(e.getMessage());
        }
        ledger.add("client's " + answer.id + " ends: " + answer);
        return answer;
    }

    private static void read(Http.Wire wire, Answer answer) throws IOException {
        Http.Message head = wire.readHead();
        if (head == null) {
            throw new IOException("closed without an answer");
        }
        answer.status = head.status();
        String retryAfter = head.field("Retry-After");
        answer.retryAfter = retryAfter == null ? -1 : Double.parseDouble(retryAfter);
        if (!"chunked".equalsIgnoreCase(head.field("Transfer-Encoding"))) {
            answer.body = wire.readText(head);
            answer.whole = true;
            return;
        }
        StringBuilder text = new StringBuilder();
        for (byte[] chunk = wire.readChunk(); chunk != null; chunk = wire.readChunk()) {
            text.append(new String(chunk, java.nio.charset.StandardCharsets.UTF_8));
            int end;
            while ((end = text.indexOf("\n\n")) >= 0) {
                event(text.substring(0, end), answer);
                text.delete(0, end + 2);
            }
        }
        answer.whole = true;
    }

    /** An event has the lines `id: N` and `data: SERVICE VERSION N`. */
    private static void event(String text, Answer answer) {
        for (String line : text.split("\n")) {
            if (line.startsWith("id: ")) {
                answer.last = Integer.parseInt(line.substring(4).trim());
                if (answer.first == 0) {
                    answer.first = answer.last;
                }
            } else if (line.startsWith("data: ")) {
                String version = " " + line.split(" ")[2];
                if (!answer.versions.contains(version)) {
                    answer.versions += version;
                }
            }
        }
    }
}
