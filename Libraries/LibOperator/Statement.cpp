// The grammar of the operators' language, written with PEGTL, and the parser actions that build statements.
#include <LibOperator/Statement.h>

#include <tao/pegtl.hpp>

namespace Goldcrestwall {

namespace {

namespace Grammar {

using namespace tao::pegtl;

// Collects what the grammar rules have matched so far.
struct ParserState
{
    std::string key_;
    std::string customer_;
    std::string service_;
    std::string name_;
    std::string target_;
    std::string document_;
    Statement statement_;

    ServiceKey serviceKey() const
    {
        return {CustomerId(customer_), ServiceId(service_)};
    }
};

struct Blank : plus<space>
{
};

template<typename Text>
struct Word : seq<Text, not_at<sor<alnum, one<'-', '_', '.'>>>>
{
};

struct NameText : plus<sor<alnum, one<'-', '_', '.'>>>
{
};

struct KeyBare : plus<not_one<' ', '\t', '\r', '\n', '"'>>
{
};
struct KeyQuotedText : star<not_one<'"'>>
{
};
struct Key : sor<if_must<one<'"'>, KeyQuotedText, one<'"'>>, KeyBare>
{
};

struct CustomerName : NameText
{
};
struct ServiceName : NameText
{
};
struct ObjectName : NameText
{
};
struct TargetName : NameText
{
};
struct RequestName : plus<sor<xdigit, one<'-'>>>
{
};
struct VersionNumber : rep_min_max<1, 18, digit>
{
};
struct ReasonText : star<not_one<'"'>>
{
};
struct Document : seq<at<one<'{'>>, until<eof, any>>
{
};

struct Who : Word<TAO_PEGTL_STRING("who")>
{
};
struct Owns : Word<TAO_PEGTL_STRING("owns")>
{
};
struct Of : Word<TAO_PEGTL_STRING("of")>
{
};
struct Why : Word<TAO_PEGTL_STRING("why")>
{
};
struct Request : Word<TAO_PEGTL_STRING("request")>
{
};
struct ShowWord : Word<TAO_PEGTL_STRING("show")>
{
};
struct Take : Word<TAO_PEGTL_STRING("take")>
{
};
struct Bring : Word<TAO_PEGTL_STRING("bring")>
{
};
struct Drain : Word<TAO_PEGTL_STRING("drain")>
{
};
struct Domain : Word<TAO_PEGTL_STRING("domain")>
{
};
struct Server : Word<TAO_PEGTL_STRING("server")>
{
};
struct Out : Word<TAO_PEGTL_STRING("out")>
{
};
struct Back : Word<TAO_PEGTL_STRING("back")>
{
};
struct In : Word<TAO_PEGTL_STRING("in")>
{
};
struct Move : Word<TAO_PEGTL_STRING("move")>
{
};
struct KeyWord : Word<TAO_PEGTL_STRING("key")>
{
};
struct To : Word<TAO_PEGTL_STRING("to")>
{
};
struct Check : Word<TAO_PEGTL_STRING("check")>
{
};
struct Put : Word<TAO_PEGTL_STRING("put")>
{
};
struct Is : Word<TAO_PEGTL_STRING("is")>
{
};
struct Force : Word<TAO_PEGTL_STRING("force")>
{
};
struct ConfigurationWord : Word<TAO_PEGTL_STRING("configuration")>
{
};
struct At : Word<TAO_PEGTL_STRING("at")>
{
};
struct VersionWord : Word<TAO_PEGTL_STRING("version")>
{
};
struct Because : Word<TAO_PEGTL_STRING("because")>
{
};
struct Slash : one<'/'>
{
};
struct Quote : one<'"'>
{
};
struct End : seq<star<space>, eof>
{
};

struct TopicOwners : Word<TAO_PEGTL_STRING("owners")>
{
};
struct TopicLeases : Word<TAO_PEGTL_STRING("leases")>
{
};
struct TopicQueues : Word<TAO_PEGTL_STRING("queues")>
{
};
struct TopicLimits : Word<TAO_PEGTL_STRING("limits")>
{
};
struct TopicDomains : Word<TAO_PEGTL_STRING("domains")>
{
};
struct TopicInstances : Word<TAO_PEGTL_STRING("instances")>
{
};
struct TopicVersions : Word<TAO_PEGTL_STRING("versions")>
{
};
struct TopicChanges : Word<TAO_PEGTL_STRING("changes")>
{
};
struct TopicRequests : Word<TAO_PEGTL_STRING("requests")>
{
};
struct TopicName : sor<TopicOwners, TopicLeases, TopicQueues, TopicLimits, TopicDomains, TopicInstances, TopicVersions, TopicChanges, TopicRequests>
{
};

struct OfService : seq<must<Of>, must<Blank>, must<CustomerName>, must<Slash>, must<ServiceName>>
{
};
struct OfCustomer : seq<must<Of>, must<Blank>, must<CustomerName>>
{
};

struct WhoOwnsStatement : if_must<Who, Blank, Owns, Blank, Key, Blank, OfService>
{
};
struct WhyStatement : if_must<Why, Blank, Request, Blank, RequestName>
{
};
struct ShowStatement : if_must<ShowWord, Blank, TopicName>
{
};
struct DomainObject : if_must<Domain, Blank, ObjectName, Blank, OfCustomer, Blank>
{
};
struct ServerObject : if_must<Server, Blank, ObjectName, Blank, OfService, Blank>
{
};
struct DomainOut : seq<DomainObject, must<Out>>
{
};
struct DomainBack : seq<DomainObject, must<Back>>
{
};
struct ServerOut : seq<ServerObject, must<Out>>
{
};
struct ServerIn : seq<ServerObject, must<In>>
{
};
struct DomainOrServerOut : sor<DomainOut, ServerOut>
{
};
struct DomainBackOrServerIn : sor<DomainBack, ServerIn>
{
};
struct TakeStatement : if_must<Take, Blank, DomainOrServerOut>
{
};
struct BringStatement : if_must<Bring, Blank, DomainBackOrServerIn>
{
};
struct DrainStatement : if_must<Drain, Blank, Server, Blank, ObjectName, Blank, OfService>
{
};
struct MoveStatement : if_must<Move, Blank, KeyWord, Blank, Key, Blank, OfService, Blank, To, Blank, TargetName>
{
};
struct IsStatement : if_must<Is, Blank, ConfigurationWord, Blank, OfCustomer, Blank, In, Blank, Force>
{
};
struct CheckStatement : if_must<Check, Blank, ConfigurationWord, Blank, Document>
{
};
struct VersionClause : if_must<At, Blank, VersionWord, Blank, VersionNumber>
{
};
struct ReasonClause : if_must<Because, Blank, Quote, ReasonText, Quote>
{
};
struct Clauses : seq<opt<Blank, VersionClause>, opt<Blank, ReasonClause>>
{
};
struct PutStatement : if_must<Put, Blank, ConfigurationWord, Clauses, Blank, Document>
{
};

struct AnyStatement : sor<WhoOwnsStatement,
                          WhyStatement,
                          ShowStatement,
                          TakeStatement,
                          BringStatement,
                          DrainStatement,
                          MoveStatement,
                          IsStatement,
                          CheckStatement,
                          PutStatement>
{
};
struct StatementGrammar : seq<star<space>, must<AnyStatement>, Clauses, must<End>>
{
};

template<typename Rule>
constexpr const char *Expected = "something else";
template<>
constexpr const char *Expected<Blank> = "a space";
template<>
constexpr const char *Expected<Owns> = "'owns'";
template<>
constexpr const char *Expected<Of> = "'of'";
template<>
constexpr const char *Expected<Request> = "'request'";
template<>
constexpr const char *Expected<Server> = "'server'";
template<>
constexpr const char *Expected<Out> = "'out'";
template<>
constexpr const char *Expected<Back> = "'back'";
template<>
constexpr const char *Expected<In> = "'in'";
template<>
constexpr const char *Expected<KeyWord> = "'key'";
template<>
constexpr const char *Expected<To> = "'to'";
template<>
constexpr const char *Expected<Force> = "'force'";
template<>
constexpr const char *Expected<ConfigurationWord> = "'configuration'";
template<>
constexpr const char *Expected<VersionWord> = "'version'";
template<>
constexpr const char *Expected<VersionNumber> = "a version number";
template<>
constexpr const char *Expected<Slash> = "'/' and the name of a service";
template<>
constexpr const char *Expected<Quote> = "a text in double quotes";
template<>
constexpr const char *Expected<one<'"'>> = "a closing double quote";
template<>
constexpr const char *Expected<Key> = "a key";
template<>
constexpr const char *Expected<CustomerName> = "the name of a customer";
template<>
constexpr const char *Expected<ServiceName> = "the name of a service";
template<>
constexpr const char *Expected<ObjectName> = "a name";
template<>
constexpr const char *Expected<TargetName> = "the name of a backend server";
template<>
constexpr const char *Expected<RequestName> = "a request identifier";
template<>
constexpr const char *Expected<Document> = "a JSON object";
template<>
constexpr const char *Expected<DomainOrServerOut> = "'domain' or 'server'";
template<>
constexpr const char *Expected<DomainBackOrServerIn> = "'domain' or 'server'";
template<>
constexpr const char *Expected<End> = "'at version', 'because' or the end of the statement";
template<>
constexpr const char *Expected<TopicName> = "one of: owners, leases, queues, limits, domains, instances, versions, changes, requests";
template<>
constexpr const char *Expected<AnyStatement> = "one of: who, why, show, take, bring, drain, move, is, check, put";

template<typename Rule>
struct Control : normal<Rule>
{
    template<typename Input, typename... States>
    [[noreturn]] static void raise(const Input &input, States &&...)
    {
        throw parse_error(Expected<Rule>, input);
    }
};

template<typename Rule>
struct Action : nothing<Rule>
{
};

template<std::string ParserState::*Field>
struct Store
{
    template<typename Input>
    static void apply(const Input &input, ParserState &state)
    {
        state.*Field = input.string();
    }
};
template<>
struct Action<KeyBare> : Store<&ParserState::key_>
{
};
template<>
struct Action<KeyQuotedText> : Store<&ParserState::key_>
{
};
template<>
struct Action<CustomerName> : Store<&ParserState::customer_>
{
};
template<>
struct Action<ServiceName> : Store<&ParserState::service_>
{
};
template<>
struct Action<ObjectName> : Store<&ParserState::name_>
{
};
template<>
struct Action<TargetName> : Store<&ParserState::target_>
{
};
template<>
struct Action<RequestName> : Store<&ParserState::name_>
{
};
template<>
struct Action<Document> : Store<&ParserState::document_>
{
};
template<>
struct Action<VersionNumber>
{
    template<typename Input>
    static void apply(const Input &input, ParserState &state)
    {
        state.statement_.version_ = std::stoull(input.string());
    }
};
template<>
struct Action<ReasonText>
{
    template<typename Input>
    static void apply(const Input &input, ParserState &state)
    {
        state.statement_.reason_ = input.string();
    }
};

template<Topic Value>
struct ShowTopic
{
    static void apply0(ParserState &state)
    {
        state.statement_.content_ = Show{Value};
    }
};
template<>
struct Action<TopicOwners> : ShowTopic<Topic::Owners>
{
};
template<>
struct Action<TopicLeases> : ShowTopic<Topic::Leases>
{
};
template<>
struct Action<TopicQueues> : ShowTopic<Topic::Queues>
{
};
template<>
struct Action<TopicLimits> : ShowTopic<Topic::Limits>
{
};
template<>
struct Action<TopicDomains> : ShowTopic<Topic::Domains>
{
};
template<>
struct Action<TopicInstances> : ShowTopic<Topic::Instances>
{
};
template<>
struct Action<TopicVersions> : ShowTopic<Topic::Versions>
{
};
template<>
struct Action<TopicChanges> : ShowTopic<Topic::Changes>
{
};
template<>
struct Action<TopicRequests> : ShowTopic<Topic::Requests>
{
};

template<>
struct Action<WhoOwnsStatement>
{
    static void apply0(ParserState &state)
    {
        state.statement_.content_ = WhoOwns{state.serviceKey(), state.key_};
    }
};
template<>
struct Action<WhyStatement>
{
    static void apply0(ParserState &state)
    {
        state.statement_.content_ = WhyRequest{RequestId(state.name_)};
    }
};
template<DomainState State>
struct ChangeDomain
{
    static void apply0(ParserState &state)
    {
        state.statement_.content_ = SetDomainState{CustomerId(state.customer_), DomainId(state.name_), State};
    }
};
template<>
struct Action<DomainOut> : ChangeDomain<DomainState::Out>
{
};
template<>
struct Action<DomainBack> : ChangeDomain<DomainState::In>
{
};
template<ServerState State>
struct ChangeServer
{
    static void apply0(ParserState &state)
    {
        state.statement_.content_ = SetServerState{state.serviceKey(), ServerId(state.name_), State};
    }
};
template<>
struct Action<ServerOut> : ChangeServer<ServerState::Out>
{
};
template<>
struct Action<ServerIn> : ChangeServer<ServerState::In>
{
};
template<>
struct Action<DrainStatement> : ChangeServer<ServerState::Draining>
{
};
template<>
struct Action<MoveStatement>
{
    static void apply0(ParserState &state)
    {
        state.statement_.content_ = MoveKey{state.serviceKey(), state.key_, ServerId(state.target_)};
    }
};
template<>
struct Action<IsStatement>
{
    static void apply0(ParserState &state)
    {
        state.statement_.content_ = IsInForce{CustomerId(state.customer_)};
    }
};
template<>
struct Action<CheckStatement>
{
    static void apply0(ParserState &state)
    {
        state.statement_.content_ = CheckDocument{state.document_};
    }
};
template<>
struct Action<PutStatement>
{
    static void apply0(ParserState &state)
    {
        state.statement_.content_ = PutDocument{state.document_};
    }
};

} // namespace Grammar

} // namespace

bool Statement::isCommand() const
{
    return std::holds_alternative<SetDomainState>(content_) || std::holds_alternative<SetServerState>(content_) || std::holds_alternative<MoveKey>(content_)
        || std::holds_alternative<PutDocument>(content_);
}

ParsedStatement parseStatement(std::string_view text)
{
    if (text.size() > MaxStatementBytes) {
        return SyntaxProblem{MaxStatementBytes + 1, "the end of the statement"};
    }
    tao::pegtl::memory_input input(text.data(), text.size(), "statement");
    Grammar::ParserState state;
    try {
        tao::pegtl::parse<Grammar::StatementGrammar, Grammar::Action, Grammar::Control>(input, state);
    } catch (const tao::pegtl::parse_error &error) {
        return SyntaxProblem{error.positions().front().byte + 1, std::string(error.message())};
    }
    return state.statement_;
}

} // namespace Goldcrestwall
