package rowanmoor.benchlink;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import rowanmoor.ControlApi.Action;
import rowanmoor.ControlApi.Admit;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Bind;
import rowanmoor.ControlApi.Log;
import rowanmoor.ControlApi.Mark;
import rowanmoor.ControlApi.Probe;
import rowanmoor.ControlApi.SetLine;
import rowanmoor.ControlApi.TimerAt;
import rowanmoor.ControlApi.Watch;
import rowanmoor.ControlApi.Withdraw;

/** Encodes the actions of one reply. */
final class Writer {

    private static final int TEXT_MOST = 60000;

    private final ByteArrayOutputStream records = new ByteArrayOutputStream();
    private int count;

    void add(long who, Action action) {
        if (action instanceof Watch a) {
            put(10, start(who, 1).put(flag(a.on())));
        } else if (action instanceof Admit a) {
            put(20, start(who, 9).putShort((short) a.table()).putShort((short) a.classMask())
                    .putFloat((float) a.level()).put((byte) a.retry().ordinal()));
        } else if (action instanceof Log a) {
            put(30, text(who, a.text()));
        } else if (action instanceof Mark a) {
            put(50, start(who, 5).putInt(a.number()).put(flag(false)));
        } else if (action instanceof Probe a) {
            put(60, backend(start(who, 6), a.backend()));
        } else if (action instanceof Withdraw a) {
            put(70, backend(start(who, 7), a.backend()).put(flag(a.withdrawn())));
        } else if (action instanceof SetLine a) {
            put(80, backend(start(who, 12), a.backend()).putFloat((float) a.weight())
                    .putShort((short) a.table()));
        } else if (action instanceof TimerAt a) {
            put(100, start(who, 16).putLong(a.time()).putLong(a.token()));
        } else if (action instanceof Bind a) {
            put(110, start(who, 6).putShort((short) a.proxy()).putShort((short) a.table())
                    .putShort((short) a.classMask()));
        }
    }

    /** Says that the decision code has broken. */
    void die(long who, String reason) {
        put(130, text(who, reason));
    }

    /** The whole reply to a batch of this number. */
    byte[] reply(int number) {
        ByteBuffer out = ByteBuffer.allocate(12 + records.size()).order(ByteOrder.LITTLE_ENDIAN);
        out.putInt(number).putInt(4 + records.size()).putInt(count).put(records.toByteArray());
        return out.array();
    }

    private static ByteBuffer start(long who, int more) {
        return ByteBuffer.allocate(4 + more).order(ByteOrder.LITTLE_ENDIAN).putInt((int) who);
    }

    private void put(int code, ByteBuffer fields) {
        ByteBuffer head = ByteBuffer.allocate(5).order(ByteOrder.LITTLE_ENDIAN);
        records.writeBytes(head.put((byte) code).putInt(fields.capacity()).array());
        records.writeBytes(fields.array());
        count++;
    }

    private static ByteBuffer text(long who, String text) {
        byte[] data = text.getBytes(StandardCharsets.UTF_8);
        byte[] cut = data.length > TEXT_MOST ? Arrays.copyOf(data, TEXT_MOST) : data;
        return start(who, 2 + cut.length).putShort((short) cut.length).put(cut);
    }

    static ByteBuffer backend(ByteBuffer out, Backend backend) {
        for (int shift = 40; shift >= 16; shift -= 8) {
            out.put((byte) (backend.id() >> shift));
        }
        return out.putShort((short) backend.id());
    }

    private static byte flag(boolean on) {
        return (byte) (on ? 1 : 0);
    }
}
