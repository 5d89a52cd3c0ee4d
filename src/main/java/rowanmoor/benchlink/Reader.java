package rowanmoor.benchlink;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import rowanmoor.ControlApi.Applied;
import rowanmoor.ControlApi.Backend;
import rowanmoor.ControlApi.Event;
import rowanmoor.ControlApi.CatalogUpdateKind;
import rowanmoor.ControlApi.Availability;
import rowanmoor.ControlApi.Member;
import rowanmoor.ControlApi.Members;
import rowanmoor.ControlApi.Probed;
import rowanmoor.ControlApi.ProxyJoined;
import rowanmoor.ControlApi.ProxyLeft;
import rowanmoor.ControlApi.Tally;
import rowanmoor.ControlApi.Timer;
import rowanmoor.ControlApi.Usage;

/** Decodes one batch, record by record. Lists are numbered, and a number is reused, so order matters. */
final class Reader {

    /** One record: which instance it is for, and what it says. */
    sealed interface Item { }

    record Launch(long who, long seed, String setup) implements Item { }

    record Halt(long who) implements Item { }

    record Heard(long who, Event event) implements Item { }

    private static final int TOLD = 50;
    private static final int STATUS_OK = 10;
    private static final int LIST_SLOTS = 16;
    private static final int ENTRY_BYTES = 25;

    private final List<List<Member>> lists = new ArrayList<>();

    Reader() {
        for (int i = 0; i < LIST_SLOTS; i++) {
            lists.add(null);
        }
    }

    /** Decodes the record at the buffer's position; null for one that is skipped or only a list. */
    Item next(ByteBuffer batch) {
        int code;
        ByteBuffer fields;
        try {
            code = batch.get() & 0xff;
            long length = batch.getInt() & 0xffffffffL;
            if (length > batch.remaining()) {
                throw new MalformedBatchException("record of code " + code + " is longer than its batch");
            }
            fields = batch.slice(batch.position(), (int) length).order(ByteOrder.LITTLE_ENDIAN);
            batch.position(batch.position() + (int) length);
        } catch (BufferUnderflowException e) {
            throw new MalformedBatchException("a batch ends within a record");
        }
        try {
            return decode(code, fields);
        } catch (BufferUnderflowException e) {
            throw new MalformedBatchException("record of code " + code + " is too short for its fields");
        }
    }

    private Item decode(int code, ByteBuffer in) {
        if (code == 150) {
            readList(in);
            return null;
        }
        if (code < 10 || code > 110 || code % 10 != 0 || code == TOLD) {
            return null; // peers' messages and slices: nothing here hears of them
        }
        long who = in.getInt() & 0xffffffffL;
        return switch (code) {
            case 10 -> new Launch(who, in.getLong(), text(in));
            case 60 -> new Halt(who);
            default -> new Heard(who, event(code, in));
        };
    }

    private Event event(int code, ByteBuffer in) {
        return switch (code) {
            case 20 -> members(in);
            case 30 -> new Timer(in.getLong());
            case 40 -> probed(in);
            case 70 -> new ProxyJoined(u16(in), u16(in), in.getFloat(), in.get() != 0);
            case 80 -> new ProxyLeft(u16(in));
            case 90 -> new Applied(u16(in), in.getInt(), in.getLong());
            case 100 -> tally(in);
            case 110 -> new Usage(u16(in), u16(in), u32(in), u32(in), in.getLong());
            default -> throw new MalformedBatchException("record of code " + code + " has no meaning");
        };
    }

    private Event members(ByteBuffer in) {
        int mode = in.get() & 0xff;
        if (mode >= CatalogUpdateKind.values().length) {
            throw new MalformedBatchException("topology record has an unknown mode: " + mode);
        }
        CatalogUpdateKind kind = CatalogUpdateKind.values()[mode];
        long version = u32(in);
        int slot = u16(in);
        if (kind == CatalogUpdateKind.FAILED) {
            return new Members(kind, version, List.of());
        }
        if (slot >= LIST_SLOTS || lists.get(slot) == null) {
            throw new MalformedBatchException("topology record names list " + slot + ", which was not sent");
        }
        return new Members(kind, version, lists.get(slot));
    }

    private Event probed(ByteBuffer in) {
        int status = u16(in);
        long latency = in.getLong();
        Backend backend = backend(in);
        return new Probed(backend, status == STATUS_OK, status, latency, load(in));
    }

    private Event tally(ByteBuffer in) {
        long latency = in.getLong();
        Backend backend = backend(in);
        long span = in.getLong();
        long failed = u32(in);
        int zone = u16(in);
        long tries = u32(in);
        return new Tally(backend, zone, tries, failed, latency, span, load(in));
    }

    private void readList(ByteBuffer in) {
        int slot = u16(in);
        long count = u32(in);
        if (slot >= LIST_SLOTS || count * ENTRY_BYTES > in.remaining()) {
            throw new MalformedBatchException("census record has list " + slot + " of " + count + " entries");
        }
        List<Member> members = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            members.add(member(in));
        }
        lists.set(slot, List.copyOf(members));
    }

    private static Member member(ByteBuffer in) {
        Backend backend = backend(in);
        int zone = u16(in);
        int kind = u16(in);
        int cell = u16(in);
        int listed = in.get() & 0xff;
        if (listed >= Availability.values().length) {
            throw new MalformedBatchException("census entry has an unknown availability: " + listed);
        }
        return new Member(backend, zone, kind, cell, Availability.values()[listed], in.getFloat(), in.getLong());
    }

    static Backend backend(ByteBuffer in) {
        long id = 0;
        for (int i = 0; i < 4; i++) {
            id = id << 8 | in.get() & 0xff;
        }
        return new Backend(id << 16 | u16(in));
    }

    private static List<Double> load(ByteBuffer in) {
        int count = in.get() & 0xff;
        List<Double> values = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            values.add((double) in.getFloat());
        }
        return values;
    }

    private static String text(ByteBuffer in) {
        return new String(bytes(in, u32(in)), StandardCharsets.UTF_8);
    }

    private static byte[] bytes(ByteBuffer in, long count) {
        if (count > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] data = new byte[(int) count];
        in.get(data);
        return data;
    }

    private static int u16(ByteBuffer in) {
        return in.getShort() & 0xffff;
    }

    private static long u32(ByteBuffer in) {
        return in.getInt() & 0xffffffffL;
    }
}
