package rowanmoor.settings;

/** A setting is missing or makes no sense; the message is one plain line that names its key. */
public final class InvalidSettingsException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    public InvalidSettingsException(String message) {
        super(message);
    }
}
