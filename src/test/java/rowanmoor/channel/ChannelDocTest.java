package rowanmoor.channel;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import rowanmoor.ControlApi.Backend;

/** The bytes in docs/channel.md are those of the code, both ways. */
class ChannelDocTest {

    @Test
    void theDocumentsBytesAreTheCodes() throws IOException, ChannelException {
        List<Frame> frames = List.of(
                new Frame.Hello(1, 41, 0x1122334455667788L, 1, 12.5, true, 0, 0, "relay-41"),
                new Frame.Update(77, 3, 1000, 9, List.of(new Frame.SetLine(2, new Frame.Line(
                        new Backend(0x7f0000011f90L), 1.5)), new Frame.Mark(12))));
        List<String> blocks = new ArrayList<>();
        Matcher matcher = Pattern.compile("```hex\n(.*?)```", Pattern.DOTALL).matcher(
                Files.readString(Path.of("docs/channel.md")));
        while (matcher.find()) {
            blocks.add(matcher.group(1).replaceAll("\\s", ""));
        }
        assertEquals(frames.size(), blocks.size());
        for (int i = 0; i < frames.size(); i++) {
            ByteBuffer bytes = Codec.encode(frames.get(i));
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            assertEquals(HexFormat.of().formatHex(copy), blocks.get(i));
            ByteBuffer read = ByteBuffer.wrap(HexFormat.of().parseHex(blocks.get(i)));
            assertEquals(frames.get(i), new FrameReader(ChannelLimits.defaults()).next(read));
        }
    }
}
