package rowanmoor.benchlink;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import rowanmoor.ControlApi.Action;
import rowanmoor.RoutingPolicy;
import rowanmoor.settings.SettingsReader;

/** The loop: one batch in, one reply out, a {@link RoutingPolicy} for each instance. Translates only. */
public final class BenchServer {

    private static final int HEADER_BYTES = 12;
    private static final int BATCH_MOST = 1 << 30;

    private final Map<Long, RoutingPolicy> instances = new TreeMap<>();
    private final Reader reader = new Reader();

    /** Serves batches until the input ends. */
    public void serve(InputStream in, OutputStream out) throws IOException {
        while (true) {
            byte[] header = in.readNBytes(HEADER_BYTES);
            if (header.length == 0) {
                return;
            }
            if (header.length < HEADER_BYTES) {
                throw new MalformedBatchException("the input ends within a batch's header");
            }
            ByteBuffer head = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
            int number = head.getInt();
            long length = (head.getInt() & 0xffffffffL) - 4;
            long count = head.getInt() & 0xffffffffL;
            if (length < 8 || length > BATCH_MOST) {
                throw new MalformedBatchException("a batch has an impossible length: " + (length + 4));
            }
            byte[] body = in.readNBytes((int) length);
            if (body.length < length) {
                throw new MalformedBatchException("the input ends within a batch");
            }
            out.write(answer(number, count, ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN)));
            out.flush();
        }
    }

    private byte[] answer(int number, long count, ByteBuffer batch) {
        long now = batch.getLong();
        Writer writer = new Writer();
        TreeSet<Long> concerned = new TreeSet<>();
        for (long i = 0; i < count; i++) {
            take(reader.next(batch), now, concerned, writer);
        }
        if (batch.hasRemaining()) {
            throw new MalformedBatchException("a batch has " + batch.remaining() + " bytes after its last record");
        }
        for (long who : concerned) {
            decide(who, now, writer);
        }
        return writer.reply(number);
    }

    private void take(Reader.Item item, long now, TreeSet<Long> concerned, Writer writer) {
        if (item instanceof Reader.Launch launch) {
            // Settings are read outside the try: bad ones are the input's fault, not the decision code's.
            var settings = SettingsReader.parseLines(launch.setup());
            guard(launch.who(), writer, () ->
                    instances.put(launch.who(), new RoutingPolicy(settings, launch.seed())));
            concerned.add(launch.who());
        } else if (item instanceof Reader.Halt halt) {
            instances.remove(halt.who());
            concerned.remove(halt.who());
        } else if (item instanceof Reader.Heard heard) {
            RoutingPolicy logic = instances.get(heard.who());
            if (logic != null) {
                guard(heard.who(), writer, () -> logic.handle(now, heard.event()));
                concerned.add(heard.who());
            }
        }
    }

    private void decide(long who, long now, Writer writer) {
        RoutingPolicy logic = instances.get(who);
        if (logic != null) {
            guard(who, writer, () -> {
                for (Action action : logic.decide(now)) {
                    writer.add(who, action);
                }
            });
        }
    }

    private void guard(long who, Writer writer, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            instances.remove(who);
            writer.die(who, e.toString());
        }
    }
}
