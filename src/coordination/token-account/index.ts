export {
  type AccountSnapshot,
  lentTokens,
  type StoredAccount,
  TokenAccount,
  type TurnGrant,
} from "./token-account.ts";
