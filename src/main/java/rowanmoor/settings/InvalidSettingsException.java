package rowanmoor.settings;

/** A setting is missing or invalid; the message is one line that names its key. */
public final class InvalidSettingsException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    public InvalidSettingsException(String message) {
        super(message);
    }
}
