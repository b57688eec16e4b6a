/** Bytes by owner: an organisation, or undefined for callers without one, who count as one together. */
export class OwnerBytes {
    readonly #bytes = new Map<string | undefined, number>();

    get(owner: string | undefined): number {
        return this.#bytes.get(owner) ?? 0;
    }

    add(owner: string | undefined, changeBytes: number): void {
        const sizeBytes = this.get(owner) + changeBytes;
        if (sizeBytes > 0) {
            this.#bytes.set(owner, sizeBytes);
        }
        else {
            this.#bytes.delete(owner);
        }
    }
}
