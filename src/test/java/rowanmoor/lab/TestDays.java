package rowanmoor.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import rowanmoor.config.ConfigException;
import rowanmoor.config.Section;

/** Days for tests: the sample day with other troubles. */
final class TestDays {

    private TestDays() { }

    static String sampleText() throws IOException {
        return Files.readString(Path.of("days/bad-day.kdl"));
    }

    static DayFile parse(String text) throws ConfigException {
        return DayFile.read(Section.parse("test.kdl", text));
    }

    /** The sample day with another length, only the given troubles and no expectations. */
    static DayFile sampleWithTroubles(String length, String troubles) throws IOException, ConfigException {
        String text = sampleText();
        int from = text.indexOf("troubles {");
        return parse(text.substring(0, from).replace("length \"40s\"", "length \"" + length + "\"")
                + "troubles { " + troubles + " }\n");
    }
}
