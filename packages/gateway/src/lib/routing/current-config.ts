/** The configuration in force at this instance, with its indexes. */
import type { ServiceId, Sha256 } from "@sniperoad/core";
import type { GatewayConfig, GatewayService } from "../model.js";
import { KeyIndex } from "./key-index.js";
import { RouteIndex } from "./route-index.js";

/** A configuration with its lookup indexes. */
export interface IndexedConfig {
    readonly config: GatewayConfig;
    readonly routes: RouteIndex;
    readonly keys: KeyIndex;
    readonly services: ReadonlyMap<ServiceId, GatewayService>;
}

/**
 * Holds the newest configuration that this process has received; its version never decreases.
 *
 * @example
 * const current = new CurrentConfig(sha256);
 * current.accept(config); // true if it is newer
 */
export class CurrentConfig {
    readonly #sha256: Sha256;
    #current: IndexedConfig | undefined;

    constructor(sha256: Sha256) {
        this.#sha256 = sha256;
    }

    get current(): IndexedConfig | undefined {
        return this.#current;
    }

    /** 0 before the first configuration. */
    get version(): number {
        return this.#current?.config.version ?? 0;
    }

    /** What the configuration declares of a service; undefined if it does not declare it. */
    service(service: ServiceId): GatewayService | undefined {
        return this.#current?.services.get(service);
    }

    /** Applies a configuration if it is newer than the current one; returns whether it did. */
    accept(config: GatewayConfig): boolean {
        if (config.version <= this.version) {
            return false;
        }
        this.#current = {
            config,
            routes: new RouteIndex(config),
            keys: new KeyIndex(config, this.#sha256),
            services: new Map(config.services.map(service => [service.id, service])),
        };
        return true;
    }
}
