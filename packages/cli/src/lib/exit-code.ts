/** Exit codes of the program, for scripts. */
import { InvalidConfigurationError, PlatformUnavailableError, VersionConflictError } from "@sniperoad/core";

/** Meaning of the exit codes. After `invalid` and `conflict`, nothing was changed. */
export const exitCodes = {
    done: 0,
    unexpected: 1,
    /** A file, an argument or the change itself is invalid. */
    invalid: 2,
    /** Another change was accepted first. */
    conflict: 3,
    /** The platform or an instance did not respond; the change may have taken effect. */
    unavailable: 4,
    /** Some instances have not confirmed: `status` names them, and so does `withdraw` without the platform. */
    unconfirmed: 5,
} as const;

/** Returns the exit code of an expected error; undefined for any other. */
export const exitCodeOf = (error: unknown): number | undefined => {
    if (error instanceof InvalidConfigurationError) {
        return exitCodes.invalid;
    }
    if (error instanceof VersionConflictError) {
        return exitCodes.conflict;
    }
    return error instanceof PlatformUnavailableError ? exitCodes.unavailable : undefined;
};
