package rowanmoor.lab;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.RetryPolicy;
import rowanmoor.channel.ChannelException;
import rowanmoor.channel.ChannelLimits;
import rowanmoor.channel.Codec;
import rowanmoor.channel.Frame;
import rowanmoor.channel.FrameReader;
import rowanmoor.http.HttpError;
import rowanmoor.http.Message;
import rowanmoor.http.MessageLimits;
import rowanmoor.kdl.KdlException;

/**
 * Feeds a parser mutants of valid inputs. Three properties must hold for each: nothing is thrown but the
 * parser's own error; the same bytes in other pieces give the same result; and no more is allocated than the
 * limits allow.
 */
public final class Fuzzer {

    /** The parsers that can be fuzzed. */
    public enum Target {
        CHANNEL, HTTP_REQUEST, HTTP_RESPONSE, KDL;

        /** The name on the command line. */
        @Override
        public String toString() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /** The result of a run; {@code failure} is null if no property was violated. */
    public record Result(long inputs, long rejected, Map<String, Long> rejections, long maxAllocatedBytes,
            String failure) { }

    private static final ChannelLimits CHANNEL_LIMITS = new ChannelLimits(1 << 16, 512, 64);
    private static final MessageLimits HTTP_LIMITS = new MessageLimits(256, 1024, 16, 2048);
    private static final int MAX_INPUT_BYTES = 4096;
    private static final int MAX_REJECTION_KINDS = 40;
    /**
     * Bytes that parsing one input may allocate: far above the limits, far below a stated length of 4 GiB.
     */
    private static final long MAX_ALLOCATED_BYTES = 8L << 20;

    private final Target target;
    private final SplittableRandom random;
    private final List<byte[]> corpus;
    private final Map<String, Long> rejections = new TreeMap<>();
    private long rejected;

    public Fuzzer(Target target, long seed) {
        this.target = target;
        this.random = new SplittableRandom(seed);
        this.corpus = corpus(target);
    }

    /** Tries inputs until the count is reached or {@code continues} returns false. */
    public Result run(long inputs, java.util.function.BooleanSupplier continues) {
        var threads = (com.sun.management.ThreadMXBean) java.lang.management.ManagementFactory
                .getThreadMXBean();
        long maxAllocated = 0;
        long tried = 0;
        while (tried < inputs && continues.getAsBoolean()) {
            byte[] input = mutant();
            tried++;
            long before = threads.getCurrentThreadAllocatedBytes();
            String whole;
            try {
                whole = parseResult(input, input.length);
            } catch (RuntimeException | StackOverflowError e) {
                return new Result(tried, rejected, rejections, maxAllocated, e + " on " + hex(input));
            }
            long allocated = threads.getCurrentThreadAllocatedBytes() - before;
            maxAllocated = Math.max(maxAllocated, allocated);
            if (allocated > MAX_ALLOCATED_BYTES) {
                return new Result(tried, rejected, rejections, maxAllocated,
                        allocated + " bytes allocated for " + hex(input));
            }
            if (target != Target.KDL && !whole.equals(parseResult(input, 1 + random.nextInt(16)))) {
                return new Result(tried, rejected, rejections, maxAllocated,
                        "result depends on how the input is split, for " + hex(input));
            }
        }
        return new Result(tried, rejected, rejections, maxAllocated, null);
    }

    private static String hex(byte[] input) {
        return java.util.HexFormat.of().formatHex(input);
    }

    private String parseResult(byte[] input, int maxPiece) {
        List<String> result = new ArrayList<>();
        try {
            switch (target) {
                case CHANNEL -> channel(input, maxPiece, result);
                case KDL -> result.add(rowanmoor.kdl.KdlParser.parse(new String(input,
                        StandardCharsets.UTF_8)).toString());
                default -> http(input, maxPiece, result);
            }
        } catch (ChannelException | HttpError | KdlException e) {
            result.add(e.getMessage());
            if (maxPiece == input.length) {
                rejected++;
                String kind = e.getMessage().replaceAll("[0-9]+", "N");
                kind = kind.length() > 60 ? kind.substring(0, 60) : kind;
                if (rejections.containsKey(kind) || rejections.size() < MAX_REJECTION_KINDS) {
                    rejections.merge(kind, 1L, Long::sum);
                }
            }
        }
        return result.toString();
    }

    private void channel(byte[] input, int maxPiece, List<String> result) throws ChannelException {
        FrameReader reader = new FrameReader(CHANNEL_LIMITS);
        for (ByteBuffer piece : pieces(input, maxPiece)) {
            while (piece.hasRemaining()) {
                Frame frame = reader.next(piece);
                if (frame != null) {
                    result.add(frame.toString());
                }
            }
        }
    }

    private void http(byte[] input, int maxPiece, List<String> result) throws HttpError {
        rowanmoor.http.MessageParser parser = target == Target.HTTP_REQUEST
                ? rowanmoor.http.MessageParser.forRequests(HTTP_LIMITS) : rowanmoor.http.MessageParser
                        .forResponses(HTTP_LIMITS);
        for (ByteBuffer piece : pieces(input, maxPiece)) {
            while (piece.hasRemaining()) {
                Message message = parser.next(piece);
                if (message != null) {
                    result.add(message.fields() + new String(message.body(), StandardCharsets.ISO_8859_1));
                }
            }
        }
    }

    private List<ByteBuffer> pieces(byte[] input, int maxPiece) {
        List<ByteBuffer> pieces = new ArrayList<>();
        for (int at = 0; at < input.length;) {
            int count = Math.min(input.length - at, maxPiece >= input.length ? maxPiece
                    : 1 + random.nextInt(maxPiece));
            pieces.add(ByteBuffer.wrap(input, at, count));
            at += count;
        }
        return pieces;
    }

    // ---- mutants -------------------------------------------------------------------------------------

    private byte[] mutant() {
        byte[] bytes = corpus.get(random.nextInt(corpus.size())).clone();
        int changes = random.nextInt(6);
        for (int i = 0; i < changes; i++) {
            bytes = mutate(bytes);
        }
        return bytes.length > MAX_INPUT_BYTES ? java.util.Arrays.copyOf(bytes, MAX_INPUT_BYTES) : bytes;
    }

    private byte[] mutate(byte[] bytes) {
        if (bytes.length == 0) {
            return new byte[] {(byte) random.nextInt(256)};
        }
        int at = random.nextInt(bytes.length);
        int count = 1 + random.nextInt(Math.min(16, bytes.length - at));
        byte[] other = corpus.get(random.nextInt(corpus.size()));
        return switch (random.nextInt(6)) {
            case 0 -> {
                bytes[at] ^= (byte) (1 << random.nextInt(8));
                yield bytes;
            }
            case 1 -> {
                bytes[at] = (byte) (random.nextBoolean() ? 0xff : random.nextInt(256));
                yield bytes;
            }
            case 2 -> splice(bytes, at, at + count, new byte[0]);
            case 3 -> splice(bytes, at, at, java.util.Arrays.copyOfRange(bytes, at, at + count));
            case 4 -> {
                int from = random.nextInt(other.length);
                yield splice(bytes, at, at, java.util.Arrays.copyOfRange(other, from,
                        Math.min(other.length, from + 24)));
            }
            default -> java.util.Arrays.copyOf(bytes, at);
        };
    }

    private static byte[] splice(byte[] bytes, int from, int to, byte[] insert) {
        byte[] joined = new byte[bytes.length - (to - from) + insert.length];
        System.arraycopy(bytes, 0, joined, 0, from);
        System.arraycopy(insert, 0, joined, from, insert.length);
        System.arraycopy(bytes, to, joined, from + insert.length, bytes.length - to);
        return joined;
    }

    private static List<byte[]> corpus(Target target) {
        return switch (target) {
            case CHANNEL -> frames().stream().map(f -> Codec.encode(f).array()).map(Fuzzer::trimmed).toList();
            case HTTP_REQUEST -> texts("GET /a/1?x=y HTTP/1.1\r\nHost: h\r\nConnection: keep-alive\r\n\r\n",
                    "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
                    "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "4;a=b\r\nwiki\r\n5\r\npedia\r\n0\r\nX: y\r\n\r\n",
                    "GET / HTTP/1.0\r\n\r\n", "HEAD /h HTTP/1.1\r\nHost: h\r\nX: \t spaced \t\r\n\r\n");
            case HTTP_RESPONSE -> texts("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                    "HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                    "HTTP/1.0 500 Bad\r\n\r\nup to the end",
                            "HTTP/1.1 503 \r\nX: y\r\nContent-Length: 0\r\n\r\n");
            case KDL -> texts("(t)node 1 \"two\" k=#true { child -0x1f; other 3.5e2 }\n",
                    "a #\"raw\"# \"\"\"\n  x\n   y\\n\n  \"\"\" /* c /* d */ */ \\ // e\n b // f\n",
                    "/- gone { x }\nkept /-1 /-k=3 \"\\u{1F600}\\s\\   \n  z\" #inf #nan; last {}",
                    "site { zones \"a\" \"b\"; rules { bare \"3s\" } }");
        };
    }

    private static List<byte[]> texts(String... texts) {
        return java.util.Arrays.stream(texts).map(t -> t.getBytes(StandardCharsets.UTF_8)).toList();
    }

    private static byte[] trimmed(byte[] encoded) {
        int length = ByteBuffer.wrap(encoded).getInt();
        return java.util.Arrays.copyOf(encoded, 4 + length);
    }

    private static List<Frame> frames() {
        Backend backend = new Backend(0x7f0000011f90L);
        Frame.Level level = new Frame.Level(3, 12.5, RetryPolicy.ONCE_UNRUN);
        Frame.Table table = new Frame.Table(7, List.of(new Frame.Line(backend, 2.5)), List.of(level));
        return List.of(new Frame.Hello(Frame.PROTOCOL_VERSION, 4, 99, 1, 20, true, 5, 6, "relay"),
                new Frame.Snapshot(5, 6, 7, 8, List.of(table), List.of(new Frame.Binding(7, 3)),
                        List.of(backend), List.of(level)),
                new Frame.Update(5, 7, 8, 9, List.of(new Frame.SetLine(7, new Frame.Line(backend, 1)),
                        new Frame.Clear(7), new Frame.Withdraw(backend, true), new Frame.Admit(7, level),
                        new Frame.Bind(3, table, List.of(backend)), new Frame.Mark(12))),
                new Frame.Applied(5, 7, 12), new Frame.Report(List.of(new Frame.Tally(backend, 9, 1, 100,
                        1000,
                        List.of(0.5))), List.of(new Frame.Use(1, 5, 0, 1000))),
                new Frame.NumberedReport(3, new Frame.Report(List.of(),
                        List.of(new Frame.Use(1, 5, 0, 1000)))), new Frame.ReportsTaken(3), new Frame.Ping(1),
                new Frame.Goodbye(Frame.Reason.STOPPING, "bye"), new Frame.Resync(5, 7));
    }
}
