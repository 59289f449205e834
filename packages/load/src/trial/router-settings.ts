/** Settings of the routers of a process trial, derived from a deployment's settings file. */
import { createHash } from 'node:crypto';
import { readFileSync } from 'node:fs';

import { parse, stringify } from 'ini';

import type { LoadTeam } from '../plan/load-plan';

/** The sections that a process trial reads or changes. */
interface SettingsText {
  router: Record<string, unknown>;
  platform: Record<string, unknown>;
  team: Record<string, { key_sha256: string; weight?: string | number }>;
  service: Record<string, { kind: string; models?: string }>;
}

export class RouterSettings {
  readonly #deploymentText: string;

  /** @param file settings file of a deployment */
  constructor(file: string) {
    this.#deploymentText = readFileSync(file, 'utf8');
  }

  /** Teams and weights of the deployment, with keys of the process trial. */
  teams(): LoadTeam[] {
    return Object.entries(this.#parse().team).map(([team, { weight }]) => ({
      team,
      key: trialKey(team),
      weight: Number(weight ?? 1),
    }));
  }

  models(): string[] {
    return Object.values(this.#parse().service).flatMap(({ models }) =>
      models === undefined ? [] : models.split(',').map(name => name.trim()),
    );
  }

  services(): string[] {
    return Object.entries(this.#parse().service)
      .filter(([, { kind }]) => kind === 'service')
      .map(([name]) => name);
  }

  /** Returns the text of the settings file of one router, which listens on free ports. */
  file(id: string, platform: string): string {
    const settings = this.#parse();
    settings.router = {
      ...settings.router,
      id,
      caller_port: 0,
      peer_port: 0,
      operator_port: 0,
    };
    settings.platform = { ...settings.platform, url: platform };
    for (const [team, entry] of Object.entries(settings.team)) {
      const hash = createHash('sha256').update(trialKey(team));
      entry.key_sha256 = hash.digest('hex');
    }
    return stringify(settings);
  }

  #parse(): SettingsText {
    return parse(this.#deploymentText) as unknown as SettingsText;
  }
}

function trialKey(team: string): string {
  return `trial-key-of-${team}`;
}
