package rowanmoor.channel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.RetryPolicy;

/** Round trips of all frames, and the rejection of malformed, truncated and oversized input. */
class CodecTest {

    private static final ChannelLimits LIMITS = new ChannelLimits(4096, 50, 40);

    static List<Frame> sampleFrames(Random random) {
        Backend backend = new Backend(random.nextLong() >>> 16);
        Frame.Level level = new Frame.Level(random.nextInt(65536), random.nextDouble() * 1e6, RetryPolicy.ONCE);
        Frame.Table table = new Frame.Table(random.nextInt(65535), List.of(new Frame.Line(backend, 2.5)),
                List.of(level));
        return List.of(
                new Frame.Hello(1, random.nextInt(65535), random.nextLong(), 3, 12.5, true, random.nextLong(),
                        5, "proxy \u00e9"),
                new Frame.Snapshot(random.nextLong(), 4, random.nextLong(), 77, List.of(table),
                        List.of(new Frame.Binding(1, 2)), List.of(backend), List.of(level)),
                new Frame.Update(random.nextLong(), 6, random.nextLong(), 8, List.of(
                        new Frame.SetLine(4, new Frame.Line(backend, 0)), new Frame.Clear(3),
                        new Frame.Withdraw(backend, true), new Frame.Admit(65535, level),
                        new Frame.Bind(0, table, List.of(backend)), new Frame.Mark(random.nextInt(65536)))),
                new Frame.Applied(random.nextLong(), 9, 65535),
                new Frame.Report(List.of(new Frame.Tally(backend, 4294967295L, 7, 8, 9, List.of(0.5, 3.0))),
                        List.of(new Frame.Use(2, 3, 1, 5))),
                new Frame.NumberedReport(1 + random.nextInt(99), new Frame.Report(List.of(),
                        List.of(new Frame.Use(2, 3, 1, 5)))),
                new Frame.ReportsTaken(Long.MAX_VALUE), new Frame.Ping(random.nextLong()),
                new Frame.Pong(random.nextLong()),
                new Frame.Goodbye(Frame.Reason.SLOW, "too slow"), new Frame.Resync(random.nextLong(), 3));
    }

    @Property(seed = "31", tries = 100)
    void framesSurviveARoundTripHoweverTheyAreFragmented(@ForAll long seed) throws ChannelException {
        Random random = new Random(seed);
        List<Frame> frames = sampleFrames(random);
        FrameReader reader = new FrameReader(LIMITS);
        List<Frame> decoded = new ArrayList<>();
        for (Frame frame : frames) {
            ByteBuffer bytes = Codec.encode(frame);
            while (bytes.hasRemaining()) {
                int count = Math.min(bytes.remaining(), 1 + random.nextInt(20));
                ByteBuffer fragment = bytes.slice(bytes.position(), count);
                bytes.position(bytes.position() + count);
                while (fragment.hasRemaining()) {
                    Frame next = reader.next(fragment);
                    if (next != null) {
                        decoded.add(next);
                    }
                }
            }
        }
        assertEquals(frames, decoded);
    }

    /**
     * Flipped bits lead to a frame or to a {@link ChannelException}, and to no allocation beyond the size of
     * a frame.
     */
    @Property(seed = "37", tries = 2000)
    void corruptedFramesAreDecodedOrRejected(@ForAll long seed) {
        Random random = new Random(seed);
        List<Frame> frames = sampleFrames(random);
        byte[] bytes = Codec.encode(frames.get(random.nextInt(frames.size()))).array();
        for (int i = 0; i < 1 + random.nextInt(4); i++) {
            bytes[4 + random.nextInt(bytes.length - 4)] ^= (byte) (1 << random.nextInt(8));
        }
        try {
            Codec.decode(ByteBuffer.wrap(bytes, 4, bytes.length - 4).slice(), LIMITS);
        } catch (ChannelException e) {
            assertTrue(e.getMessage() != null);
        }
    }

    @Test
    void lengthOf4GiBIsRejectedBeforeAllocation() {
        FrameReader reader = new FrameReader(LIMITS);
        ByteBuffer length = ByteBuffer.allocate(4).putInt(0xffffffff).flip();
        assertThrows(ChannelException.class, () -> reader.next(length));
        assertThrows(ChannelException.class, () -> reader.next(Codec.encode(new Frame.Ping(1))));
    }

    @Test
    void listCountBeyondTheFrameIsRejected() {
        ByteBuffer frame = ByteBuffer.allocate(64).put((byte) 5).putShort((short) 49).put(new byte[40]).flip();
        assertThrows(ChannelException.class, () -> Codec.decode(frame, LIMITS));
    }

    @Test
    void helloOfAnUnknownVersionIsDecodedUpToItsVersion() throws ChannelException {
        ByteBuffer frame = ByteBuffer.allocate(16).put((byte) 1).putInt(0x52574d43).putShort((short) 900)
                .put(new byte[] {1, 2, 3}).flip();
        assertEquals(900, ((Frame.Hello) Codec.decode(frame, LIMITS)).protocolVersion());
    }

    @Test
    void trailingBytesAndNegativeWeightsAreRejected() {
        byte[] ping = Codec.encode(new Frame.Ping(1)).array();
        ByteBuffer withTrailingByte = ByteBuffer.allocate(20).put(ping, 4, 9).put((byte) 0).flip();
        assertThrows(ChannelException.class, () -> Codec.decode(withTrailingByte, LIMITS));
        ByteBuffer negative = Codec.encode(new Frame.Update(1, 1, 1, 1, List.of(new Frame.SetLine(1,
                new Frame.Line(new Backend(1), -1))))).position(4).slice();
        assertThrows(ChannelException.class, () -> Codec.decode(negative, LIMITS));
    }

    @Test
    void incompleteFrameIsNotDecoded() throws ChannelException {
        FrameReader reader = new FrameReader(LIMITS);
        ByteBuffer bytes = Codec.encode(new Frame.Ping(5));
        bytes.limit(7);
        assertNull(reader.next(bytes));
        assertTrue(reader.hasPartialFrame());
    }

    @Test
    void tallyWithAnImpossibleLatencySumIsRejected() throws ChannelException {
        for (long succeeded : new long[] {0, 10}) {
            for (int excessDays = 0; excessDays < 2; excessDays++) {
                long latencySumNs = succeeded * 86_400_000_000_000L + excessDays * 86_400_000_000_000L;
                ByteBuffer bytes = Codec.encode(new Frame.Report(List.of(new Frame.Tally(new Backend(1),
                        succeeded + 2, 2, latencySumNs,
                        5, List.of())), List.of()));
                FrameReader reader = new FrameReader(LIMITS);
                if (excessDays == 0) {
                    assertTrue(reader.next(bytes) instanceof Frame.Report);
                } else {
                    ChannelException e = assertThrows(ChannelException.class, () -> reader.next(bytes));
                    assertTrue(e.getMessage().contains("beyond a day a try"), e.getMessage());
                }
            }
        }
    }
}
