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

/** Frames to bytes and back; all numbers big end first. */
public final class Codec {

    private static final long LONGEST_TRY = 86_400_000_000_000L;
    private static final int MAGIC = 0x52574d43;
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
    private static final int SET_LINE = 1;
    private static final int CLEAR = 2;
    private static final int WITHDRAW = 3;
    private static final int ADMIT = 4;
    private static final int BIND = 5;
    private static final int MARK = 6;
    private static final int FIRST_ROOM = 256;

    private Codec() { }

    // ---- to bytes ------------------------------------------------------------------------------------

    /** A frame with its length before it, ready to be sent. */
    public static ByteBuffer encode(Frame frame) {
        Out out = new Out();
        out.u32(0);
        if (frame instanceof Frame.Hello f) {
            out.u8(HELLO).u32(MAGIC).u16(f.protocolVersion()).u16(f.proxy()).u64(f.incarnation()).u16(f.zone())
                    .f64(f.requestsPerSecond()).u8(f.fresh() ? 1 : 0).u64(f.epoch()).u64(f.version()).text(f.name());
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
        return out.framed();
    }

    private static final class Out {
        private ByteBuffer bytes = ByteBuffer.allocate(FIRST_ROOM);

        private ByteBuffer room(int count) {
            if (bytes.remaining() < count) {
                ByteBuffer larger = ByteBuffer.allocate(Math.max(bytes.capacity() * 2,
                        bytes.position() + count));
                bytes = larger.put(bytes.flip());
            }
            return bytes;
        }

        Out u8(int value) {
            room(1).put((byte) value);
            return this;
        }

        Out u16(int value) {
            room(2).putShort((short) value);
            return this;
        }

        Out u32(long value) {
            room(4).putInt((int) Math.min(value, 0xffffffffL));
            return this;
        }

        Out u64(long value) {
            room(8).putLong(value);
            return this;
        }

        Out f64(double value) {
            room(8).putDouble(value);
            return this;
        }

        Out text(String text) {
            byte[] data = text.getBytes(StandardCharsets.UTF_8);
            u16(data.length);
            room(data.length).put(data);
            return this;
        }

        <T> void list(List<T> items, Consumer<T> each) {
            u16(items.size());
            items.forEach(each);
        }

        Out backend(Backend backend) {
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
                u8(SET_LINE).u16(o.table());
                line(o.line());
            } else if (order instanceof Frame.Clear o) {
                u8(CLEAR).u16(o.table());
            } else if (order instanceof Frame.Withdraw o) {
                u8(WITHDRAW).backend(o.backend()).u8(o.withdrawn() ? 1 : 0);
            } else if (order instanceof Frame.Admit o) {
                u8(ADMIT).u16(o.table());
                level(o.level());
            } else if (order instanceof Frame.Bind o) {
                u8(BIND).u16(o.classMask());
                table(o.table());
                list(o.withdrawn(), this::backend);
            } else if (order instanceof Frame.Mark o) {
                u8(MARK).u16(o.number());
            }
        }

        ByteBuffer framed() {
            bytes.putInt(0, bytes.position() - 4);
            return bytes.flip();
        }
    }

    // ---- from bytes ----------------------------------------------------------------------------------

    /** Decodes one frame's bytes, its length already taken off. */
    public static Frame decode(ByteBuffer bytes, ChannelLimits limits) throws ChannelException {
        try {
            In in = new In(bytes, limits);
            Frame frame = in.frame();
            if (bytes.hasRemaining()) {
                throw new ChannelException("a frame has " + bytes.remaining() + " bytes after its last field");
            }
            return frame;
        } catch (BufferUnderflowException e) {
            throw new ChannelException("a frame ends within its fields");
        }
    }

    private interface Item<T> {
        T read() throws ChannelException;
    }

    private record In(ByteBuffer bytes, ChannelLimits limits) {

        Frame frame() throws ChannelException {
            int type = u8();
            switch (type) {
                case HELLO:
                    return hello();
                case SNAPSHOT:
                    return new Frame.Snapshot(u64(), version(), u64(), u32(),
                            list(this::table, 6), list(() -> new Frame.Binding(u16(), u16()), 4),
                            list(this::backend, 6), list(this::level, 11));
                case UPDATE:
                    return new Frame.Update(u64(), version(), u64(), u32(), list(this::order, 3));
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
                    return new Frame.Goodbye(one(Frame.Reason.values(), "reason"), text());
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
                // Other versions may have other fields: nothing after this one is read.
                bytes.position(bytes.limit());
                return new Frame.Hello(protocol, 0, 0, 0, 0, false, 0, 0, "");
            }
            int proxy = u16();
            if (proxy == ControlApi.ALL_TABLES) {
                throw new ChannelException("a proxy's number is out of range: " + proxy);
            }
            return new Frame.Hello(protocol, proxy, u64(), u16(), amount("rate"), flag(), u64(), u64(),
                    text());
        }

        private long version() throws ChannelException {
            long version = u64();
            if (version < 0) {
                throw new ChannelException("a version is out of range");
            }
            return version;
        }

        private Frame.Report report() throws ChannelException {
            return new Frame.Report(list(this::tally, 31), list(this::use, 18));
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
            long sum = span();
            long span = span();
            if (failed > tries) {
                throw new ChannelException("a tally has more failures than tries");
            }
            if (sum / LONGEST_TRY > tries - failed) {
                throw new ChannelException("a tally has latencies beyond a day a try");
            }
            int count = u8();
            List<Double> load = new ArrayList<>(Math.min(count, 8));
            for (int i = 0; i < count; i++) {
                load.add(amount("load"));
            }
            return new Frame.Tally(backend, tries, failed, sum, span, List.copyOf(load));
        }

        private Frame.Use use() throws ChannelException {
            return new Frame.Use(u16(), u32(), u32(), span());
        }

        private Frame.Order order() throws ChannelException {
            int kind = u8();
            switch (kind) {
                case SET_LINE:
                    return new Frame.SetLine(u16(), line());
                case CLEAR:
                    return new Frame.Clear(u16());
                case WITHDRAW:
                    return new Frame.Withdraw(backend(), flag());
                case ADMIT:
                    return new Frame.Admit(u16(), level());
                case BIND:
                    return new Frame.Bind(u16(), table(), list(this::backend, 6));
                case MARK:
                    return new Frame.Mark(u16());
                default:
                    throw new ChannelException("an order of unknown kind " + kind);
            }
        }

        private Frame.Table table() throws ChannelException {
            return new Frame.Table(u16(), list(this::line, 14), list(this::level, 11));
        }

        private Frame.Line line() throws ChannelException {
            return new Frame.Line(backend(), amount("weight"));
        }

        private Frame.Level level() throws ChannelException {
            return new Frame.Level(u16(), amount("level"), one(RetryPolicy.values(), "way of trying again"));
        }

        /** A list is refused by its count before any of it is read: it cannot make this side allocate. */
        private <T> List<T> list(Item<T> item, int leastBytes) throws ChannelException {
            int count = u16();
            if (count > limits.maxListEntries() || (long) count * leastBytes > bytes.remaining()) {
                throw new ChannelException("a list of " + count + " entries is over the limit or its frame");
            }
            List<T> items = new ArrayList<>(count);
            for (int i = 0; i < count; i++) {
                items.add(item.read());
            }
            return List.copyOf(items);
        }

        private Backend backend() {
            return new Backend(u32() << 16 | u16());
        }

        private <T> T one(T[] values, String what) throws ChannelException {
            int place = u8();
            if (place >= values.length) {
                throw new ChannelException("an unknown " + what + ": " + place);
            }
            return values[place];
        }

        private double amount(String what) throws ChannelException {
            double value = bytes.getDouble();
            if (!(value >= 0 && value <= 1e15)) {
                throw new ChannelException("a " + what + " is out of range: " + value);
            }
            return value;
        }

        private long span() throws ChannelException {
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
