package rowanmoor.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses JSON into maps, lists, strings, numbers and booleans. Uses Jackson's streaming parser, since its
 * data binding is slow to load at startup.
 */
final class Json {

    private static final JsonFactory FACTORY = new JsonFactory();
    private static final int MAX_DEPTH = 32;

    private Json() { }

    /**
     * Parses exactly one object.
     *
     * @throws IOException if the input is not a JSON object, is nested too deeply or has trailing content
     */
    static Map<String, Object> parseObject(byte[] bytes, int offset, int length) throws IOException {
        try (JsonParser parser = FACTORY.createParser(bytes, offset, length)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("not a JSON object");
            }
            Map<String, Object> object = readFields(parser, 0);
            if (parser.nextToken() != null) {
                throw new IOException("trailing content after the JSON object");
            }
            return object;
        }
    }

    private static Map<String, Object> readFields(JsonParser parser, int depth) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            fields.put(name, readValue(parser, depth + 1));
        }
        return fields;
    }

    private static Object readValue(JsonParser parser, int depth) throws IOException {
        if (depth > MAX_DEPTH) {
            throw new IOException("JSON nested deeper than " + MAX_DEPTH + " levels");
        }
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw new IOException("unexpected end of JSON");
        }
        return switch (token) {
            case START_OBJECT -> readFields(parser, depth);
            case START_ARRAY -> {
                List<Object> items = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    items.add(readValue(parser, depth + 1));
                }
                yield items;
            }
            case VALUE_NUMBER_INT -> parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                    ? (Object) parser.getDoubleValue() : (Object) parser.getLongValue();
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> "";
            default -> parser.getText();
        };
    }
}
