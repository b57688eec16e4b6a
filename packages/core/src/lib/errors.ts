/** Error classes. Each message states the remedy. */
import ModernError from "modern-errors";

/** Base class of all errors that sniperoad throws deliberately. */
export const SniperoadError = ModernError.subclass("SniperoadError");

/** The platform timed out or responded with an error; a write may have taken effect. */
export const PlatformUnavailableError = SniperoadError.subclass("PlatformUnavailableError");

/** A peer sent no valid reply in time; the request may have taken effect there. */
export const PeerUnavailableError = SniperoadError.subclass("PeerUnavailableError");

/**
 * A configuration, settings file or argument is invalid. The message states the remedy and, for a file, line and field.
 */
export const InvalidConfigurationError = SniperoadError.subclass("InvalidConfigurationError");

/** A conditional write conflicted with another one; read the newest version and repeat the change. */
export const VersionConflictError = SniperoadError.subclass("VersionConflictError");
