/** Errors of the gateway. Each message names the remedy. */
import { PlatformUnavailableError, SniperoadError } from "@sniperoad/core";

/** The object store did not answer, or not correctly. A write may have taken effect. */
export const StoreUnavailableError = PlatformUnavailableError.subclass("StoreUnavailableError");

/** The store no longer has the changes since a revision; list the collection again. */
export const HistoryGoneError = SniperoadError.subclass("HistoryGoneError");

/** The state of a collection cannot be divided into parts, or parts make no state. */
export const StateFormatError = SniperoadError.subclass("StateFormatError");

/** The message of any thrown value. */
export const errorMessage = (error: unknown): string => error instanceof Error ? error.message : String(error);
