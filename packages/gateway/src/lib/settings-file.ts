/** Reloads the settings when their file changes. */
import type { Clock, LogPort } from "@sniperoad/core";
import { readFile } from "node:fs/promises";
import { isDeepStrictEqual } from "node:util";
import { errorMessage } from "./errors.js";
import { parseGatewaySettings } from "./settings.js";
import type { GatewaySettings } from "./settings.js";

/** Interval between reads of the file, which may change without a signal. */
const readIntervalMs = 2_000;

/** Fields that take effect only at startup: identity, addresses, and which collections are read. */
const startupFields: readonly (keyof GatewaySettings)[] = [
    "instance",
    "zone",
    "callerAddress",
    "directoryAddress",
    "readyAddress",
    "metricsAddress",
    "peerAddress",
    "seedPeers",
    "storeAddress",
    "linkMbps",
    "memoryMb",
    "processorShare",
    "processorSpeed",
    "zoneEvacuationMs",
];

/** Options of {@link SettingsFile}. */
export interface SettingsFileOptions {
    readonly path: string;
    /** Text of the file at startup. */
    readonly text: string;
    readonly clock: Clock;
    readonly log: LogPort;
    readonly read?: (path: string) => Promise<string>;
}

/**
 * The settings in force. If the file cannot be read or is not valid, the previous settings stay in force.
 *
 * @example
 * const file = new SettingsFile({ path, text, clock, log });
 * process.on("SIGHUP", () => void file.reload());
 * file.current.retryShare;
 */
export class SettingsFile {
    readonly #options: SettingsFileOptions;
    #text: string;
    #current: GatewaySettings;

    /** @throws InvalidConfigurationError if the initial text is not valid */
    constructor(options: SettingsFileOptions) {
        this.#options = options;
        this.#text = options.text;
        this.#current = parseGatewaySettings(options.text, options.path);
    }

    get current(): GatewaySettings {
        return this.#current;
    }

    /** Starts reading the file periodically. */
    watch(): void {
        this.#options.clock.after(readIntervalMs, () => void this.reload().then(() => this.watch()));
    }

    /** Reads the file now. */
    async reload(): Promise<void> {
        const { path, log, read = defaultRead } = this.#options;
        try {
            const text = await read(path);
            if (text === this.#text) {
                return;
            }
            this.#text = text;
            this.#apply(parseGatewaySettings(text, path));
        }
        catch (error) {
            log.event("settings-rejected", { path, reason: errorMessage(error) });
        }
    }

    #apply(next: GatewaySettings): void {
        const { path, log } = this.#options;
        const previous = this.#current;
        const changed = (Object.keys(next) as (keyof GatewaySettings)[]).filter(field =>
            !isDeepStrictEqual(next[field], previous[field])
        );
        const needRestart = changed.filter(field => startupFields.includes(field));
        this.#current = next;
        log.event("settings-reloaded", {
            path,
            changed: changed.join(",") || "nothing",
            inForceAfterRestart: needRestart.join(",") || undefined,
        });
    }
}

const defaultRead = (path: string): Promise<string> => readFile(path, "utf8");
