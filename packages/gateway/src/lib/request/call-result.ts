/** Judges responses of upstreams and errors of requests to them. */
import { isNotSent } from "@sniperoad/daemon";
import type { ResponseFraming } from "@sniperoad/daemon";
import { errorMessage } from "../errors.js";
import type { ResponseMetadata } from "../model.js";
import type { UpstreamRequest, UpstreamResult } from "./ports.js";

/** Why a body cannot be passed on; undefined if it can. */
export const encodingOf = (framing: ResponseFraming): string | undefined =>
    framing === "encoded" ? "body is encoded for the transfer" : undefined;

/**
 * Why a response is not known to belong to the request; undefined if it does. One that names no request may be a
 * repetition of an earlier one, and one with an encoded body is not what the upstream sends.
 */
export const mismatchOf = (
    { requestId, isEncoded }: ResponseMetadata,
    request: UpstreamRequest,
): string | undefined => {
    if (requestId !== request.requestId) {
        return requestId === undefined ? "answer names no request" : "answer names another request";
    }
    return isEncoded ? "body is encoded" : undefined;
};

/** Codes of errors that undici raises for a request before it sends anything. */
const invalidRequestCodes = new Set(["UND_ERR_INVALID_ARG", "UND_ERR_NOT_SUPPORTED"]);

interface FailureContext {
    readonly isTimeout: boolean;
    readonly isCancelled: boolean;
    readonly hadHeaders: boolean;
}

/** Classifies the error of a request that got no whole response. */
export const classifyFailure = (
    error: unknown,
    { isTimeout, isCancelled, hadHeaders }: FailureContext,
): UpstreamResult => {
    if (isCancelled) {
        return { kind: "cancelled" };
    }
    if (isTimeout) {
        return { kind: "timeout" };
    }
    const code = String((error as { code?: unknown; }).code ?? "");
    const reason = `${code} ${errorMessage(error)}`.trim();
    if (invalidRequestCodes.has(code)) {
        return { kind: "invalid", reason };
    }
    return isNotSent(error)
        ? { kind: "refused", reason, hasExited: code === "ECONNREFUSED" }
        : { kind: "broken", reason, hadHeaders };
};
