package rowanmoor.channel;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import rowanmoor.ControlApi;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.RetryPolicy;

/**
 * Encodes frames to bytes and decodes them. All numbers are big-endian; the formats of the fields are in
 * docs/channel.md.
 */
public final class Codec {

    /** Upper bound on the latency of one try: one day. */
    private static final long MAX_TRY_LATENCY_NS = 86_400_000_000_000L;
    private static final int MAGIC = 0x52574d43; // "RWMC"

    // Frame types on the wire.
    private static final int HELLO = 1;
    private static final int SNAPSHOT = 2;
    private static final int UPDATE = 3;
    private static final int APPLIED = 4;
    private static final int REPORT = 5;
    private static final int PING = 6;
    private static final int PONG = 7;
    private static final int GOODBYE = 8;
    private static final int RESYNC = 9;
    private static final int NUMBERED_REPORT = 10;
    private static final int REPORTS_TAKEN = 11;

    // Order types on the wire.
    private static final int ORDER_SET_LINE = 1;
    private static final int ORDER_CLEAR = 2;
    private static final int ORDER_WITHDRAW = 3;
    private static final int ORDER_ADMIT = 4;
    private static final int ORDER_BIND = 5;
    private static final int ORDER_MARK = 6;

    private static final int INITIAL_BUFFER_BYTES = 256;
    private static final int LENGTH_PREFIX_BYTES = 4;
    private static final int BACKEND_BYTES = 6;
    private static final int BINDING_BYTES = 4;
    private static final int LEVEL_BYTES = 11;
    private static final int LINE_BYTES = 14;
    private static final int USAGE_BYTES = 18;
    private static final int MIN_TABLE_BYTES = 6;
    private static final int MIN_ORDER_BYTES = 3;
    private static final int MIN_TALLY_BYTES = 31;
    /** Upper bound on any weight, level, rate or load value. */
    private static final double MAX_DOUBLE_VALUE = 1e15;

    private Codec() { }

    // ---- encoding ------------------------------------------------------------------------------------

    /** Encodes a frame with its length prefix; the returned buffer is ready to be sent. */
    public static ByteBuffer encode(Frame frame) {
        FrameWriter out = new FrameWriter();
        out.u32(0);
        if (frame instanceof Frame.Hello f) {
            out.u8(HELLO).u32(MAGIC).u16(f.protocolVersion()).u16(f.proxy()).u64(f.incarnation())
                    .u16(f.zone()).f64(f.requestsPerSecond()).u8(f.fresh() ? 1 : 0).u64(f.epoch())
                    .u64(f.version()).text(f.name());
        } else if (frame instanceof Frame.Snapshot f) {
            out.u8(SNAPSHOT).u64(f.epoch()).u64(f.version()).u64(f.orderedAtNs()).u32(f.queuedLines());
            out.list(f.tables(), out::table);
            out.list(f.bindings(), b -> out.u16(b.table()).u16(b.classMask()));
            out.list(f.withdrawn(), out::backend);
            out.list(f.globalLevels(), out::level);
        } else if (frame instanceof Frame.Update f) {
            out.u8(UPDATE).u64(f.epoch()).u64(f.version()).u64(f.orderedAtNs()).u32(f.queuedLines());
            out.list(f.orders(), out::order);
        } else if (frame instanceof Frame.Applied f) {
            out.u8(APPLIED).u64(f.epoch()).u64(f.version()).u16(f.mark());
        } else if (frame instanceof Frame.Report f) {
            out.u8(REPORT).report(f);
        } else if (frame instanceof Frame.NumberedReport f) {
            out.u8(NUMBERED_REPORT).u64(f.number()).report(f.report());
        } else if (frame instanceof Frame.ReportsTaken f) {
            out.u8(REPORTS_TAKEN).u64(f.upTo());
        } else if (frame instanceof Frame.Ping f) {
            out.u8(PING).u64(f.token());
        } else if (frame instanceof Frame.Pong f) {
            out.u8(PONG).u64(f.token());
        } else if (frame instanceof Frame.Goodbye f) {
            out.u8(GOODBYE).u8(f.reason().ordinal()).text(f.text());
        } else if (frame instanceof Frame.Resync f) {
            out.u8(RESYNC).u64(f.epoch()).u64(f.version());
        }
        return out.finish();
    }

    private static final class FrameWriter {
        private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);

        private ByteBuffer ensureRemaining(int count) {
            if (buffer.remaining() < count) {
                ByteBuffer larger = ByteBuffer.allocate(Math.max(buffer.capacity() * 2,
                        buffer.position() + count));
                buffer = larger.put(buffer.flip());
            }
            return buffer;
        }

        FrameWriter u8(int value) {
            ensureRemaining(1).put((byte) value);
            return this;
        }

        FrameWriter u16(int value) {
            ensureRemaining(2).putShort((short) value);
            return this;
        }

        FrameWriter u32(long value) {
            ensureRemaining(4).putInt((int) Math.min(value, 0xffffffffL));
            return this;
        }

        FrameWriter u64(long value) {
            ensureRemaining(8).putLong(value);
            return this;
        }

        FrameWriter f64(double value) {
            ensureRemaining(8).putDouble(value);
            return this;
        }

        FrameWriter text(String text) {
            byte[] data = text.getBytes(StandardCharsets.UTF_8);
            u16(data.length);
            ensureRemaining(data.length).put(data);
            return this;
        }

        <T> void list(List<T> items, Consumer<T> writeItem) {
            u16(items.size());
            items.forEach(writeItem);
        }

        FrameWriter backend(Backend backend) {
            u32(backend.id() >>> 16);
            return u16((int) (backend.id() & 0xffff));
        }

        void report(Frame.Report report) {
            list(report.tallies(), t -> {
                backend(t.backend()).u32(t.tries()).u32(t.failed()).u64(t.latencySum()).u64(t.span());
                u8(t.load().size());
                t.load().forEach(this::f64);
            });
            list(report.usages(), u -> u16(u.cls()).u32(u.requests()).u32(u.failed()).u64(u.span()));
        }

        void line(Frame.Line line) {
            backend(line.backend()).f64(line.weight());
        }

        void level(Frame.Level level) {
            u16(level.classMask()).f64(level.level()).u8(level.retry().ordinal());
        }

        void table(Frame.Table table) {
            u16(table.number());
            list(table.lines(), this::line);
            list(table.levels(), this::level);
        }

        void order(Frame.Order order) {
            if (order instanceof Frame.SetLine o) {
                u8(ORDER_SET_LINE).u16(o.table());
                line(o.line());
            } else if (order instanceof Frame.Clear o) {
                u8(ORDER_CLEAR).u16(o.table());
            } else if (order instanceof Frame.Withdraw o) {
                u8(ORDER_WITHDRAW).backend(o.backend()).u8(o.withdrawn() ? 1 : 0);
            } else if (order instanceof Frame.Admit o) {
                u8(ORDER_ADMIT).u16(o.table());
                level(o.level());
            } else if (order instanceof Frame.Bind o) {
                u8(ORDER_BIND).u16(o.classMask());
                table(o.table());
                list(o.withdrawn(), this::backend);
            } else if (order instanceof Frame.Mark o) {
                u8(ORDER_MARK).u16(o.number());
            }
        }

        ByteBuffer finish() {
            buffer.putInt(0, buffer.position() - LENGTH_PREFIX_BYTES);
            return buffer.flip();
        }
    }

    // ---- decoding ------------------------------------------------------------------------------------

    /**
     * Decodes one frame from its bytes without the length prefix.
     *
     * @throws ChannelException if the bytes are not exactly one valid frame within the limits
     */
    public static Frame decode(ByteBuffer bytes, ChannelLimits limits) throws ChannelException {
        try {
            FrameParser in = new FrameParser(bytes, limits);
            Frame frame = in.frame();
            if (bytes.hasRemaining()) {
                throw new ChannelException("a frame has " + bytes.remaining()
                        + " bytes after its last field");
            }
            return frame;
        } catch (BufferUnderflowException e) {
            throw new ChannelException("a frame ends within its fields");
        }
    }

    private interface ItemParser<T> {
        T parse() throws ChannelException;
    }

    private record FrameParser(ByteBuffer bytes, ChannelLimits limits) {

        Frame frame() throws ChannelException {
            int type = u8();
            switch (type) {
                case HELLO:
                    return hello();
                case SNAPSHOT:
                    return new Frame.Snapshot(u64(), version(), u64(), u32(),
                            list(this::table, MIN_TABLE_BYTES),
                            list(() -> new Frame.Binding(u16(), u16()), BINDING_BYTES),
                            list(this::backend, BACKEND_BYTES), list(this::level, LEVEL_BYTES));
                case UPDATE:
                    return new Frame.Update(u64(), version(), u64(), u32(),
                            list(this::order, MIN_ORDER_BYTES));
                case APPLIED:
                    return new Frame.Applied(u64(), version(), u16());
                case REPORT:
                    return report();
                case NUMBERED_REPORT:
                    return new Frame.NumberedReport(reportNumber(), report());
                case REPORTS_TAKEN:
                    return new Frame.ReportsTaken(reportNumber());
                case PING:
                    return new Frame.Ping(u64());
                case PONG:
                    return new Frame.Pong(u64());
                case GOODBYE:
                    return new Frame.Goodbye(enumValue(Frame.Reason.values(), "reason"), text());
                case RESYNC:
                    return new Frame.Resync(u64(), u64());
                default:
                    throw new ChannelException("a frame of unknown type " + type);
            }
        }

        private Frame hello() throws ChannelException {
            if (u32() != MAGIC) {
                throw new ChannelException("a hello without the protocol's mark");
            }
            int protocol = u16();
            if (protocol < Frame.MIN_PROTOCOL_VERSION || protocol > Frame.PROTOCOL_VERSION) {
                // Other versions may have other fields, so the rest of the frame is skipped.
                bytes.position(bytes.limit());
                return new Frame.Hello(protocol, 0, 0, 0, 0, false, 0, 0, "");
            }
            int proxy = u16();
            if (proxy == ControlApi.ALL_TABLES) {
                throw new ChannelException("a proxy's number is out of range: " + proxy);
            }
            return new Frame.Hello(protocol, proxy, u64(), u16(), nonNegativeDouble("rate"), flag(),
                    u64(), u64(), text());
        }

        private long version() throws ChannelException {
            long version = u64();
            if (version < 0) {
                throw new ChannelException("a version is out of range");
            }
            return version;
        }

        private Frame.Report report() throws ChannelException {
            return new Frame.Report(list(this::tally, MIN_TALLY_BYTES), list(this::usage, USAGE_BYTES));
        }

        private long reportNumber() throws ChannelException {
            long number = u64();
            if (number < 1) {
                throw new ChannelException("a report's number is out of range: " + number);
            }
            return number;
        }

        private Frame.Tally tally() throws ChannelException {
            Backend backend = backend();
            long tries = u32();
            long failed = u32();
            long latencySumNs = durationNs();
            long spanNs = durationNs();
            if (failed > tries) {
                throw new ChannelException("a tally has more failures than tries");
            }
            if (latencySumNs / MAX_TRY_LATENCY_NS > tries - failed) {
                throw new ChannelException("a tally has latencies beyond a day a try");
            }
            int count = u8();
            List<Double> load = new ArrayList<>(Math.min(count, 8));
            for (int i = 0; i < count; i++) {
                load.add(nonNegativeDouble("load"));
            }
            return new Frame.Tally(backend, tries, failed, latencySumNs, spanNs, List.copyOf(load));
        }

        private Frame.Use usage() throws ChannelException {
            return new Frame.Use(u16(), u32(), u32(), durationNs());
        }

        private Frame.Order order() throws ChannelException {
            int kind = u8();
            switch (kind) {
                case ORDER_SET_LINE:
                    return new Frame.SetLine(u16(), line());
                case ORDER_CLEAR:
                    return new Frame.Clear(u16());
                case ORDER_WITHDRAW:
                    return new Frame.Withdraw(backend(), flag());
                case ORDER_ADMIT:
                    return new Frame.Admit(u16(), level());
                case ORDER_BIND:
                    return new Frame.Bind(u16(), table(), list(this::backend, BACKEND_BYTES));
                case ORDER_MARK:
                    return new Frame.Mark(u16());
                default:
                    throw new ChannelException("an order of unknown kind " + kind);
            }
        }

        private Frame.Table table() throws ChannelException {
            return new Frame.Table(u16(), list(this::line, LINE_BYTES), list(this::level, LEVEL_BYTES));
        }

        private Frame.Line line() throws ChannelException {
            return new Frame.Line(backend(), nonNegativeDouble("weight"));
        }

        private Frame.Level level() throws ChannelException {
            return new Frame.Level(u16(), nonNegativeDouble("level"),
                    enumValue(RetryPolicy.values(), "way of trying again"));
        }

        /** Checks a list's count before reading it: a forged count cannot cause a large allocation. */
        private <T> List<T> list(ItemParser<T> itemParser, int minItemBytes) throws ChannelException {
            int count = u16();
            if (count > limits.maxListEntries() || (long) count * minItemBytes > bytes.remaining()) {
                throw new ChannelException("a list of " + count + " entries is over the limit or its frame");
            }
            List<T> items = new ArrayList<>(count);
            for (int i = 0; i < count; i++) {
                items.add(itemParser.parse());
            }
            return List.copyOf(items);
        }

        private Backend backend() {
            return new Backend(u32() << 16 | u16());
        }

        private <T> T enumValue(T[] values, String field) throws ChannelException {
            int index = u8();
            if (index >= values.length) {
                throw new ChannelException("an unknown " + field + ": " + index);
            }
            return values[index];
        }

        private double nonNegativeDouble(String field) throws ChannelException {
            double value = bytes.getDouble();
            if (!(value >= 0 && value <= MAX_DOUBLE_VALUE)) {
                throw new ChannelException("a " + field + " is out of range: " + value);
            }
            return value;
        }

        private long durationNs() throws ChannelException {
            long value = u64();
            if (value < 0) {
                throw new ChannelException("a time is out of range");
            }
            return value;
        }

        private boolean flag() throws ChannelException {
            int value = u8();
            if (value > 1) {
                throw new ChannelException("a flag is neither 0 nor 1: " + value);
            }
            return value == 1;
        }

        private String text() throws ChannelException {
            int count = u16();
            if (count > limits.maxTextBytes() || count > bytes.remaining()) {
                throw new ChannelException("a text of " + count + " bytes is over the limit or its frame");
            }
            ByteBuffer data = bytes.slice(bytes.position(), count);
            bytes.position(bytes.position() + count);
            try {
                return StandardCharsets.UTF_8.newDecoder().decode(data).toString();
            } catch (CharacterCodingException e) {
                throw new ChannelException("a text is not UTF-8");
            }
        }

        private int u8() {
            return bytes.get() & 0xff;
        }

        private int u16() {
            return bytes.getShort() & 0xffff;
        }

        private long u32() {
            return bytes.getInt() & 0xffffffffL;
        }

        private long u64() {
            return bytes.getLong();
        }
    }
}
