# Messages between processes, entries of the replicated log, and snapshots.
# Each struct has the members of the C++ struct of the same name, without the trailing underscore.
# New members are added at the end, and none is removed or changed. Durations are in nanoseconds
# unless the C++ type has another unit. Points in time are in milliseconds since the Unix epoch.
@0xb4c1e2d38f6a7059;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("chervilspring::schema");

enum UpstreamPhase {
  announced @0;
  serving @1;
  leaving @2;
  gone @3;
}

enum TrialPhase {
  none @0;
  offered @1;
  running @2;
}

enum AttemptTruth {
  neverStarted @0;
  queued @1;
  started @2;
  finished @3;
  unknown @4;
}

enum ResultKind {
  ok @0;
  failed @1;
  upstreamCrashed @2;
  notRun @3;
}

enum RecordPhase {
  pending @0;
  completed @1;
  unknown @2;
}

enum OutcomeKind {
  accepted @0;
  duplicate @1;
  otherBody @2;
  expired @3;
  conflict @4;
  notFound @5;
  notLeader @6;
  unavailable @7;
}

struct Label {
  key @0 :Text;
  value @1 :Text;
}

struct StageSpec {
  name @0 :Text;
  selector @1 :Text;
  idempotent @2 :Bool;
  stream @3 :Bool;
  estimate @4 :Int64;
  costPerSecond @5 :UInt32;
}

struct PipelineSpec {
  name @0 :Text;
  labels @1 :List(Label);
  deadline @2 :Int64;
  stages @3 :List(StageSpec);
}

struct Pool {
  name @0 :Text;
  selector @1 :Text;
  labels @2 :List(Label);
  connectionLimit @3 :UInt32;
  pieces @4 :PieceCapacity;
  engine @5 :EngineCapacity;
  coldRate @6 :Float64;
}

struct Account {
  name @0 :Text;
  labels @1 :List(Label);
  salt @2 :Text;
  credentialDigest @3 :Text;
  requestsPerSecond @4 :UInt32;
  concurrency @5 :UInt32;
  keyDigests @6 :List(Text);
  priority @7 :UInt32;
}

struct Policy {
  name @0 :Text;
  requests @1 :Text;
  upstreams @2 :Text;
  costWeight @3 :UInt32;
  retryPercent @4 :UInt32;
  priority @5 :UInt32;
  serveWhenStale @6 :Bool;
}

struct PieceCapacity {
  calls @0 :UInt32;
  queue @1 :UInt32;
  batch @2 :UInt32;
  callTime @3 :Int64;
  pieceTime @4 :Int64;
  resultBytes @5 :UInt64;
  resultLifetime @6 :Int64;
}

struct EngineCapacity {
  slots @0 :UInt32;
  cacheTokens @1 :UInt64;
}

enum RouteKind {
  safe @0;
  unsafe @1;
  streaming @2;
}

struct RouteTarget {
  pool @0 :Text;
  weight @1 :UInt32;
}

struct RouteStage {
  pool @0 :Text;
  after @1 :List(UInt32);
  resultBytes @2 :UInt64;
}

struct RouteSpec {
  name @0 :Text;
  host @1 :Text;
  pathPrefix @2 :Text;
  kind @3 :RouteKind;
  priority @4 :UInt32;
  maxAttempts @5 :UInt32;
  timeout @6 :Int64;
  objective @7 :Int64;
  gapObjective @8 :Int64;
  open @9 :Bool;
  affine @10 :Bool;
  resumable @11 :Bool;
  targets @12 :List(RouteTarget);
  stages @13 :List(RouteStage);
}

struct CallerLimits {
  headerBytes @0 :UInt32;
  bodyBytes @1 :UInt32;
  headerTime @2 :Int64;
  idleTime @3 :Int64;
}

struct Fleet {
  retention @0 :Int64;
  pipelines @1 :List(PipelineSpec);
  pools @2 :List(Pool);
  accounts @3 :List(Account);
  policies @4 :List(Policy);
  routes @5 :List(RouteSpec);
  limits @6 :CallerLimits;
  needsKey @7 :Bool;
}

struct RequestId {
  entry @0 :Text;
  boot @1 :UInt64;
  sequence @2 :UInt64;
}

struct AttemptId {
  request @0 :RequestId;
  stage @1 :UInt32;
  attempt @2 :UInt32;
}

struct Upstream {
  name @0 :Text;
  dataCenter @1 :Text;
  agentAddress @2 :Text;
  agentPort @3 :UInt16;
  agentBoot @4 :UInt64;
  concurrency @5 :UInt32;
  phase @6 :UpstreamPhase;
  drained @7 :Bool;
  labels @8 :List(Label);
  operatorLabels @9 :List(Label);
  direct @10 :Bool;
  sequence @11 :UInt64;
  cold @12 :Bool;
}

struct Suspect {
  digest @0 :UInt64;
  crashes @1 :UInt32;
  refused @2 :Bool;
  crashIds @3 :List(UInt64);
  trials @4 :UInt32;
  trialPhase @5 :TrialPhase;
  trialEntry @6 :Text;
  trialUpstream @7 :Text;
  hasRunWell @8 :Bool;
  isExplained @9 :Bool;
}

struct Quarantine {
  id @0 :UInt64;
  parts @1 :List(Text);
  crashes @2 :UInt32;
  trials @3 :UInt32;
  afterStart @4 :Bool;
}

struct View {
  version @0 :UInt64;
  fleetVersion @1 :UInt64;
  fleet @2 :Fleet;
  upstreams @3 :List(Upstream);
  suspects @4 :List(Suspect);
  quarantines @5 :List(Quarantine);
  evacuated @6 :List(Text);
}

struct Dispatch {
  id @0 :AttemptId;
  agentBoot @1 :UInt64;
  pipeline @2 :Text;
  stageName @3 :Text;
  account @4 :Text;
  remaining @5 :Int64;
  priority @6 :UInt32;
  idempotent @7 :Bool;
  stream @8 :Bool;
  resumeOffset @9 :UInt32;
  contentDigest @10 :UInt64;
  viewVersion @11 :UInt64;
  body @12 :Data;
  bodyDigest @13 :UInt64;
  isolate @14 :Bool;
}

struct Inquire {
  id @0 :AttemptId;
  agentBoot @1 :UInt64;
  offset @2 :UInt32;
  revoke @3 :Bool;
  remaining @4 :Int64;
}

struct Cancel {
  id @0 :AttemptId;
}

struct Load {
  queued @0 :UInt32;
  running @1 :UInt32;
  serviceTime @2 :Int64;
  phase @3 :UpstreamPhase;
  viewVersion @4 :UInt64;
}

struct AttemptResult {
  id @0 :AttemptId;
  agentBoot @1 :UInt64;
  kind @2 :ResultKind;
  detail @3 :Text;
  body @4 :Data;
  bodyLength @5 :UInt64;
  bodyDigest @6 :UInt64;
  tokens @7 :UInt32;
  serviceTime @8 :Int64;
  load @9 :Load;
}

struct StreamChunk {
  id @0 :AttemptId;
  agentBoot @1 :UInt64;
  offset @2 :UInt32;
  tokens @3 :List(Data);
}

struct AttemptState {
  id @0 :AttemptId;
  agentBoot @1 :UInt64;
  truth @2 :AttemptTruth;
}

struct Ping {
  sequence @0 :UInt64;
  reply @1 :Bool;
  load @2 :Load;
}

struct RecordKey {
  account @0 :Text;
  pipeline @1 :Text;
  key @2 :Text;
}

struct Record {
  key @0 :RecordKey;
  bodyDigest @1 :UInt64;
  phase @2 :RecordPhase;
  attempt @3 :AttemptId;
  upstream @4 :Text;
  agentBoot @5 :UInt64;
  created @6 :Int64;
  expires @7 :Int64;
  body @8 :Data;
}

struct Noop {
  term @0 :UInt64;
}

struct ReserveRecord {
  record @0 :Record;
}

struct CompleteRecord {
  key @0 :RecordKey;
  attempt @1 :AttemptId;
  body @2 :Data;
}

struct ReassignRecord {
  key @0 :RecordKey;
  from @1 :AttemptId;
  to @2 :AttemptId;
  upstream @3 :Text;
  agentBoot @4 :UInt64;
}

struct ReleaseRecord {
  key @0 :RecordKey;
  attempt @1 :AttemptId;
}

struct MarkUnknown {
  key @0 :RecordKey;
  attempt @1 :AttemptId;
}

struct SettleRecord {
  operationId @0 :Text;
  key @1 :RecordKey;
  ran @2 :Bool;
  body @3 :Data;
}

struct ApplyFleet {
  operationId @0 :Text;
  baseVersion @1 :UInt64;
  fleet @2 :Fleet;
}

struct SetLabel {
  operationId @0 :Text;
  upstream @1 :Text;
  key @2 :Text;
  value @3 :Text;
}

struct DrainUpstream {
  operationId @0 :Text;
  upstream @1 :Text;
  drained @2 :Bool;
}

struct AnnounceUpstream {
  upstream @0 :Upstream;
  returned @1 :Bool;
}

struct RemoveUpstream {
  name @0 :Text;
  agentBoot @1 :UInt64;
  departed @2 :Bool;
}

struct ReportCrash {
  digest @0 :UInt64;
  upstream @1 :Text;
  alone @2 :Bool;
  boot @3 :UInt64;
  hasRunWell @4 :Bool;
}

struct ClearSuspect {
  digest @0 :UInt64;
  lapsed @1 :Bool;
}

struct ChangeTrial {
  digest @0 :UInt64;
  phase @1 :TrialPhase;
  entry @2 :Text;
  upstream @3 :Text;
}

struct EvacuateDataCenter {
  dataCenter @0 :Text;
  evacuated @1 :Bool;
}

struct SetQuarantine {
  quarantine @0 :Quarantine;
}

struct Member {
  id @0 :UInt64;
  name @1 :Text;
  voter @2 :Bool;
}

struct ChangeMembers {
  members @0 :List(Member);
}

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  time @2 :Int64;
  command @3 :Command;
}

struct Outcome {
  kind @0 :OutcomeKind;
  version @1 :UInt64;
  detail @2 :Text;
  record @3 :Record;
}

struct Propose {
  sequence @0 :UInt64;
  command @1 :Command;
}

struct ProposeReply {
  sequence @0 :UInt64;
  outcome @1 :Outcome;
  leader @2 :Text;
}

struct Heartbeat {
  node @0 :Text;
  viewVersion @1 :UInt64;
  upstream @2 :Upstream;
  isEntry @3 :Bool;
  share @4 :UInt32;
  load @5 :Load;
  fleetVersion @6 :UInt64;
  awaitsView @7 :Bool;
}

struct ViewUpdate {
  fromVersion @0 :UInt64;
  toVersion @1 :UInt64;
  fleetVersion @2 :UInt64;
  fleet @3 :Fleet;
  upstreams @4 :List(Upstream);
  removed @5 :List(Text);
  suspects @6 :List(Suspect);
  quarantines @7 :List(Quarantine);
  evacuated @8 :List(Text);
  fleetBlocks @9 :List(UInt64);
}

struct RequestFleetBlocks {
  digests @0 :List(UInt64);
}

struct FleetBlockReply {
  digest @0 :UInt64;
  known @1 :Bool;
  part @2 :Fleet;
}

struct HeartbeatReply {
  leader @0 :Text;
  age @1 :Int64;
  fresh @2 :Bool;
  update @3 :ViewUpdate;
  granted @4 :Bool;
  share @5 :UInt32;
  shareLease @6 :Int64;
  members @7 :List(Text);
}

struct VoteRequest {
  group @0 :UInt32;
  cluster @1 :UInt64;
  term @2 :UInt64;
  candidate @3 :UInt64;
  lastIndex @4 :UInt64;
  lastTerm @5 :UInt64;
  pre @6 :Bool;
  transfer @7 :Bool;
}

struct VoteReply {
  group @0 :UInt32;
  cluster @1 :UInt64;
  term @2 :UInt64;
  voter @3 :UInt64;
  granted @4 :Bool;
  pre @5 :Bool;
}

struct AppendRequest {
  group @0 :UInt32;
  cluster @1 :UInt64;
  term @2 :UInt64;
  leader @3 :UInt64;
  previousIndex @4 :UInt64;
  previousTerm @5 :UInt64;
  commit @6 :UInt64;
  round @7 :UInt64;
  entries @8 :List(LogEntry);
}

struct AppendReply {
  group @0 :UInt32;
  cluster @1 :UInt64;
  term @2 :UInt64;
  member @3 :UInt64;
  success @4 :Bool;
  match @5 :UInt64;
  round @6 :UInt64;
}

struct Snapshot {
  cluster @0 :UInt64;
  lastIndex @1 :UInt64;
  lastTerm @2 :UInt64;
  time @3 :Int64;
  members @4 :List(Member);
  view @5 :View;
  records @6 :List(Record);
  operationIds @7 :List(Text);
  operationOutcomes @8 :List(Outcome);
  documentVersion @9 :UInt64;
  document @10 :Data;
  departures @11 :List(Departure);
  foundingMembers @12 :UInt32;
  formerSuspects @13 :List(Suspect);
}

struct InstallSnapshot {
  group @0 :UInt32;
  term @1 :UInt64;
  leader @2 :UInt64;
  snapshot @3 :Snapshot;
}

struct TimeoutNow {
  group @0 :UInt32;
  cluster @1 :UInt64;
  term @2 :UInt64;
}

struct Join {
  cluster @0 :UInt64;
  member @1 :Member;
  leader @2 :Text;
  stopping @3 :Bool;
}

struct Departure {
  name @0 :Text;
  agentBoot @1 :UInt64;
}

struct ApplyDocument {
  documentVersion @0 :UInt64;
  document @1 :Data;
  fleet @2 :Fleet;
}

struct PromptPart {
  id @0 :Text;
  tokens @1 :UInt32;
}

struct PieceResult {
  stage @0 :UInt32;
  piece @1 :UInt32;
  upstream @2 :Text;
  handle @3 :Text;
  age @4 :Int64;
}

struct PlanRequest {
  id @0 :Text;
  route @1 :Text;
  pool @2 :Text;
  account @3 :Text;
  priority @4 :UInt32;
  untilObjective @5 :Int64;
  untilDeadline @6 :Int64;
  pieceCounts @7 :List(UInt32);
  pieceKey @8 :Text;
  promptTokens @9 :UInt32;
  outputTokens @10 :UInt32;
  parts @11 :List(PromptPart);
  round @12 :UInt32;
  avoid @13 :List(Text);
  remake @14 :Bool;
  results @15 :List(PieceResult);
  untilStartDeadline @16 :Int64;
  stages @17 :List(RouteStage);
}

struct PlanProgress {
  id @0 :Text;
  round @1 :UInt32;
  results @2 :List(PieceResult);
}

struct PlanGrant {
  id @0 :Text;
  round @1 :UInt32;
  upstream @2 :Text;
  agentBoot @3 :UInt64;
  inputs @4 :List(Text);
  trial @5 :Bool;
}

struct PlanRefusal {
  id @0 :Text;
  round @1 :UInt32;
  retryAfter @2 :Int64;
  reason @3 :Text;
  detail @4 :Text;
}

struct PlanStarted {
  id @0 :Text;
  round @1 :UInt32;
}

struct PlanEnd {
  id @0 :Text;
  round @1 :UInt32;
  served @2 :Bool;
  detail @3 :Text;
  engineFailed @4 :Bool;
  moved @5 :Bool;
}

struct RunCrashed {
  id @0 :Text;
  upstream @1 :Text;
  agentBoot @2 :UInt64;
  parts @3 :List(PromptPart);
  ago @4 :Int64;
  started @5 :Bool;
  runTime @6 :Int64;
}

struct Command {
  union {
    noop @0 :Noop;
    reserveRecord @1 :ReserveRecord;
    completeRecord @2 :CompleteRecord;
    reassignRecord @3 :ReassignRecord;
    releaseRecord @4 :ReleaseRecord;
    markUnknown @5 :MarkUnknown;
    settleRecord @6 :SettleRecord;
    applyFleet @7 :ApplyFleet;
    setLabel @8 :SetLabel;
    drainUpstream @9 :DrainUpstream;
    announceUpstream @10 :AnnounceUpstream;
    removeUpstream @11 :RemoveUpstream;
    reportCrash @12 :ReportCrash;
    clearSuspect @13 :ClearSuspect;
    changeMembers @14 :ChangeMembers;
    applyDocument @15 :ApplyDocument;
    setQuarantine @16 :SetQuarantine;
    evacuateDataCenter @17 :EvacuateDataCenter;
    changeTrial @18 :ChangeTrial;
  }
}

struct Message {
  union {
    dispatch @0 :Dispatch;
    inquire @1 :Inquire;
    cancel @2 :Cancel;
    attemptResult @3 :AttemptResult;
    streamChunk @4 :StreamChunk;
    attemptState @5 :AttemptState;
    ping @6 :Ping;
    propose @7 :Propose;
    proposeReply @8 :ProposeReply;
    heartbeat @9 :Heartbeat;
    heartbeatReply @10 :HeartbeatReply;
    voteRequest @11 :VoteRequest;
    voteReply @12 :VoteReply;
    appendRequest @13 :AppendRequest;
    appendReply @14 :AppendReply;
    installSnapshot @15 :InstallSnapshot;
    timeoutNow @16 :TimeoutNow;
    join @17 :Join;
    planRequest @18 :PlanRequest;
    planGrant @19 :PlanGrant;
    planRefusal @20 :PlanRefusal;
    planStarted @21 :PlanStarted;
    planEnd @22 :PlanEnd;
    planProgress @23 :PlanProgress;
    runCrashed @24 :RunCrashed;
    requestFleetBlocks @25 :RequestFleetBlocks;
    fleetBlockReply @26 :FleetBlockReply;
  }
}
