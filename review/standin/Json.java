package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes the JSON documents of the platform's pages. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    /** Returns maps, lists, strings, longs, doubles, booleans and null. */
    static Object parse(String text) {
        Json json = new Json(text);
        return json.value();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey().toString(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String separator = "";
            for (Object item : list) {
                out.append(separator);
                write(item, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"').append(string.replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
        } else {
            out.append(value);
        }
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) at++;
        return text.charAt(at);
    }

    private Object value() {
        char c = next();
        if (c == '{') return object();
        if (c == '[') return list();
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && "}],".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at).trim();
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    private Map<String, Object> object() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        while (next() != '}') {
            if (next() == ',') at++;
            next();
            String key = string();
            next();
            at++;
            map.put(key, value());
        }
        at++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        at++;
        while (next() != ']') {
            if (next() == ',') at++;
            list.add(value());
        }
        at++;
        return list;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }
}
