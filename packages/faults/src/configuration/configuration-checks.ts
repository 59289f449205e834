/** Checks a history of configuration changes against what must always hold. */
import type { ProposalResult } from '@sesamegrade/core/configuration/proposal';
import { parseSnapshot } from '@sesamegrade/core/configuration/configuration-rows';
import type { ConfigurationSnapshot } from '@sesamegrade/core/configuration/configuration-rows';
import type { Violation } from '../simulation/fault';

/** Follows the versions of all routers while a history runs. */
export class VersionObserver {
  readonly violations: Violation[] = [];
  readonly #latest = new Map<string, number>();
  readonly #hashes = new Map<number, number>();

  /** A router process has a version in force. */
  observe(router: string, { version, hash }: ConfigurationSnapshot): void {
    const before = this.#latest.get(router) ?? 0;
    if (version < before) {
      this.#fail(`${router} went from ${before} to ${version}`);
    }
    this.#latest.set(router, version);
    const known = this.#hashes.get(version);
    if (known !== undefined && known !== hash) {
      this.#fail(`${router} has another content of version ${version}`);
    }
    this.#hashes.set(version, hash);
  }

  #fail(detail: string): void {
    this.violations.push({ promise: 'no-revert', detail });
  }
}

/** Compares what operators were told with what the table accepted. */
export function checkResults(
  stored: unknown,
  results: readonly ProposalResult[],
): Violation[] {
  const parsed = parseSnapshot(stored);
  const recent = parsed.ok ? parsed.value.recent : [];
  const violations: Violation[] = [];
  const accepted = new Map<string, number>();
  for (const { changeId, version } of recent) {
    if (accepted.has(changeId)) {
      const detail = `${changeId} was accepted twice`;
      violations.push({ promise: 'at-most-once', detail });
    }
    accepted.set(changeId, version);
  }
  for (const result of results) {
    const detail = untruth(result, accepted);
    if (detail !== undefined) {
      violations.push({ promise: 'true-outcome', detail });
    }
  }
  return violations;
}

function untruth(
  { changeId, outcome }: ProposalResult,
  accepted: ReadonlyMap<string, number>,
): string | undefined {
  const version = accepted.get(changeId);
  switch (outcome.kind) {
    case 'committed':
      return version === outcome.version
        ? undefined
        : `${changeId} was told ${outcome.version} but is ${version ?? 'absent'}`;
    case 'conflict':
      return outcome.winner.changeId === changeId
        ? `${changeId} lost against itself`
        : undefined;
    case 'invalid':
      return version === undefined
        ? undefined
        : `${changeId} was told invalid but was accepted`;
    case 'store-unavailable':
    case 'unreadable':
    case 'store-behind':
    case 'unsettled':
      return undefined;
  }
}
