/** Error kinds of the gateway. Each message names the remedy. */
import { PlatformUnavailableError, SniperoadError } from "@sniperoad/core";

/** The object store did not answer, or not as it should. A write may have taken effect. */
export const StoreUnavailableError = PlatformUnavailableError.subclass("StoreUnavailableError");

/** The store has dropped the history since a revision; list the collection again. */
export const HistoryGoneError = SniperoadError.subclass("HistoryGoneError");

/** The message of anything that was thrown. */
export const errorMessage = (error: unknown): string => error instanceof Error ? error.message : String(error);
