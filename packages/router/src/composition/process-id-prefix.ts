import type { Cradle } from './cradle';

/** Returns a prefix for ids that is unique to this process: router id and incarnation. */
export function processIdPrefix({
  settings,
  identity,
}: Pick<Cradle, 'settings' | 'identity'>): string {
  return `${settings.router.id}.${identity.incarnation.toString(36)}`;
}
