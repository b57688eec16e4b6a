/** Applies the configuration from the store or from other instances. */
import type { GatewayConfig } from "../model.js";
import type { CurrentConfig } from "../routing/current-config.js";
import type { HeldCollection, HoldingContext } from "./held-collection.js";
import type { StoreChanges, StoreSnapshot } from "./ports.js";
import { decodeSharedConfig } from "./shared-state.js";
import type { SharedState } from "./state-exchange.js";

/**
 * The configuration of an instance, ordered by its own version.
 *
 * @example
 * const held = new HeldConfig(current, onConfig, context);
 * held.onSnapshot(await store.list("config"));
 */
export class HeldConfig implements HeldCollection<"config"> {
    readonly #current: CurrentConfig;
    readonly #onConfig: (config: GatewayConfig) => void;
    readonly #context: HoldingContext;
    /** Whether the last entry that the store gave this instance is the held configuration. */
    #isConfirmed = false;

    constructor(current: CurrentConfig, onConfig: (config: GatewayConfig) => void, context: HoldingContext) {
        this.#current = current;
        this.#onConfig = onConfig;
        this.#context = context;
    }

    get revision(): number {
        return this.#current.version;
    }

    onSnapshot({ items }: StoreSnapshot<GatewayConfig>): void {
        this.#applyAll([...items.values()]);
    }

    onChanges({ changes }: StoreChanges<GatewayConfig>): void {
        this.#applyAll(changes.map(({ value }) => value));
    }

    exportState(): object | undefined {
        return this.#current.current?.config;
    }

    importState({ revision, value }: SharedState): boolean {
        const config = decodeSharedConfig(value);
        return config.version === revision && this.#apply(config, "peer");
    }

    /** Applies what a reader was given; undefined stands for an entry that is invalid or was removed. */
    #applyAll(configs: readonly (GatewayConfig | undefined)[]): void {
        const valid = configs.filter(config => config !== undefined);
        valid.forEach(config => this.#apply(config, "store"));
        const newest = Math.max(0, ...valid.map(({ version }) => version));
        if (configs.length > 0) {
            // Without a valid entry, or with one that is older, the store does not confirm what this instance holds.
            this.#isConfirmed = newest >= this.#current.version && configs.at(-1) !== undefined;
        }
        if (this.#isConfirmed) {
            this.#context.confirm();
        }
    }

    #apply(config: GatewayConfig, source: string): boolean {
        const { log, announce } = this.#context;
        const former = this.#current.version;
        const behindMs = Math.round(this.#context.behindMs());
        if (!this.#current.accept(config)) {
            return false;
        }
        log.event("config-in-force", { version: config.version, former, source, behindMs });
        this.#onConfig(config);
        announce();
        return true;
    }
}
