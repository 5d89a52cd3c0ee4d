package rowanmoor.http;

/** Reason phrases of the status codes that this program sends (RFC 9110, 15); empty for others. */
final class ReasonPhrases {

    private ReasonPhrases() { }

    static String of(int status) {
        return switch (status) {
            case 100 -> "Continue";
            case 200 -> "OK";
            case 204 -> "No Content";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 413 -> "Content Too Large";
            case 414 -> "URI Too Long";
            case 429 -> "Too Many Requests";
            case 431 -> "Request Header Fields Too Large";
            case 500 -> "Internal Server Error";
            case 501 -> "Not Implemented";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            case 505 -> "HTTP Version Not Supported";
            default -> "";
        };
    }
}
